package thornferry.testbed.load;

import thornferry.protocol.v1.TaskNews;

/** The result of a request. */
enum TaskOutcome {
    /** The task runs on a node. */
    PLACED,
    /** The placer rejected the task; the client may retry. */
    REJECTED,
    /** Any other result. */
    FAILED;

    /** Reads the result from the placer's message. */
    static TaskOutcome of(TaskNews result) {
        return switch (result.getResult()) {
            case "placed" -> PLACED;
            case "refused" -> REJECTED;
            default -> FAILED;
        };
    }
}
