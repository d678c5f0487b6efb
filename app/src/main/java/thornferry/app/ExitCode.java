package thornferry.app;

/** The exit codes of the commands. */
final class ExitCode {
    static final int OK = 0;

    /** The command failed, or a check did not pass. */
    static final int FAILED = 1;

    /** The command line or a configuration file is invalid. */
    static final int INVALID_USAGE = 2;

    /** The placer rejected the task; returned by {@code submit}. */
    static final int TASK_REJECTED = 3;

    /** The task failed; returned by {@code submit}. */
    static final int TASK_FAILED = 4;

    /** The placer does not know the task; returned by {@code why}. */
    static final int TASK_UNKNOWN = 3;

    private ExitCode() {}

    /** Returns the exit code of a check. */
    static int ofCheck(boolean passed) {
        return passed ? OK : FAILED;
    }
}
