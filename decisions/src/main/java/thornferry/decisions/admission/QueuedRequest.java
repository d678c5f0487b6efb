package thornferry.decisions.admission;

/**
 * The properties of a placement request that admission control uses.
 *
 * @param requestId id of the request
 * @param owner the account that the task belongs to
 * @param tenant tenant of the owner
 * @param taskClass class of the task
 * @param priorityWeight weight by which requests of a tenant are ordered, highest first
 * @param cores cores that the task needs
 * @param memory memory that the task needs, in the unit of the task specifications
 * @param deadlineMicros time by which the task must be placed
 * @param expectedRunMicros expected run time; 0 if unknown
 * @param isRetry whether the request repeats an earlier one
 * @param rejectedBy machine that rejected the previous attempt; empty if no machine did
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
        boolean isRetry,
        String rejectedBy) {
    /** Returns the time left until the deadline; negative after the deadline. */
    long remainingMicros(long nowMicros) {
        return deadlineMicros - nowMicros;
    }
}
