package thornferry.decisions.requests;

/**
 * A task as its owner requests it.
 *
 * @param id the owner's own name for the task
 * @param taskClass the name of a configured task class
 * @param idempotencyKey empty for none
 * @param cores the cores to reserve
 * @param memory the memory to reserve, in the unit of the machines' registrations
 * @param maxWaitMicros how long the owner waits for a result, or null for the default of the class
 * @param expectedRunMicros how long the task is expected to run, 0 where unknown
 */
public record TaskSpec(
        String id,
        String taskClass,
        String service,
        String idempotencyKey,
        double cores,
        double memory,
        Long maxWaitMicros,
        long expectedRunMicros) {
    /** Whether both describe the same task: the times may differ between requests for it. */
    boolean sameShape(TaskSpec other) {
        return id.equals(other.id)
                && taskClass.equals(other.taskClass)
                && service.equals(other.service)
                && idempotencyKey.equals(other.idempotencyKey)
                && cores == other.cores
                && memory == other.memory;
    }
}
