package thornferry.testbed.audit;

import java.util.Optional;

/**
 * A class of tasks, as the site declares it.
 *
 * @param keyGroup the nodes that share idempotency keys
 * @param keyWindowMicros how long an idempotency key is remembered
 * @param deadlineMicros how long a request waits for its result if it does not say so itself
 * @param spreadGroup over which groups the tasks of a service are spread; empty for none
 * @param maxTasksPerGroup tasks of one service that may run in one such group
 */
record TaskClass(
        String name,
        Idempotency idempotency,
        NodeGroup keyGroup,
        long keyWindowMicros,
        long deadlineMicros,
        Optional<NodeGroup> spreadGroup,
        int maxTasksPerGroup) {

    /** Whether a task of this class may run anywhere again, whatever became of an attempt. */
    boolean isAlwaysRetryable() {
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.IDEMPOTENT_WITH_KEY && keyGroup == NodeGroup.ALL);
    }
}
