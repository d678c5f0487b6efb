package thornferry.app;

/** The exit codes of the commands. */
final class ExitCode {
    static final int OK = 0;

    /** The command failed. */
    static final int FAILED = 1;

    /** The command line or a configuration file is invalid. */
    static final int INVALID_USAGE = 2;

    /** Of {@code submit}: the placer has rejected the task. */
    static final int TASK_REJECTED = 3;

    /** Of {@code submit}: the task has failed. */
    static final int TASK_FAILED = 4;

    /** Of {@code why}: the placer knows no such task. */
    static final int TASK_UNKNOWN = 3;

    private ExitCode() {}

    /** The exit code of a check. */
    static int ofCheck(boolean passed) {
        return passed ? OK : FAILED;
    }
}
