package thornferry.decisions.admission;

/**
 * A request for placement as the admission queue sees it.
 *
 * @param requestId identifies the request
 * @param owner login that the task belongs to
 * @param tenant tenant of the owner
 * @param taskClass class of the task
 * @param priorityWeight higher weights are dispatched first within a tenant
 * @param cores cores that the task needs
 * @param memory memory that the task needs, in the unit of the machine sizes
 * @param deadlineMicros time by which the task must be placed
 * @param expectedRunMicros expected run time; 0 if unknown
 * @param retry whether the request repeats an earlier one
 * @param rejectedBy machine that rejected the previous attempt; empty if none did
 */
public record QueuedRequest(
        String requestId,
        String owner,
        String tenant,
        String taskClass,
        double priorityWeight,
        double cores,
        double memory,
        long deadlineMicros,
        long expectedRunMicros,
        boolean retry,
        String rejectedBy) {
    /** Time left until the deadline; negative after it. */
    long remainingMicros(long nowMicros) {
        return deadlineMicros - nowMicros;
    }
}
