package thornferry.testbed.audit;

import java.util.Optional;

/**
 * Identifies a task.
 *
 * @param placer the placer that it was requested from
 * @param owner the login of the client; empty if none was recorded on its connection
 * @param taskId unique for the owner
 */
record TaskKey(String placer, Optional<String> owner, String taskId) {
    /** Stands in descriptions for an owner that is not known. */
    static final String UNKNOWN_OWNER = "(unknown)";

    /** The key without its placer: a task must not start twice even by two placers. */
    record AtAnyPlacer(Optional<String> owner, String taskId) {}

    AtAnyPlacer atAnyPlacer() {
        return new AtAnyPlacer(owner, taskId);
    }
}
