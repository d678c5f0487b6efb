package thornferry.decisions.requests;

/**
 * A task as its owner requests it.
 *
 * @param id the owner's own name for the task
 * @param taskClass the name of a configured task class
 * @param service the service that the task belongs to
 * @param idempotencyKey the key of a task that is idempotent with a key, empty for none
 * @param cores the cores to reserve
 * @param memory the memory to reserve, in the unit of the machines' registrations
 * @param maxWaitMicros how long the owner waits for a result, or null for the deadline of the class
 * @param expectedRunMicros how long the task is expected to run, 0 if unknown
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
    /**
     * Returns whether both describe the same task. The times are not compared, as they may differ
     * between requests for the same task.
     */
    boolean describesSameTask(TaskSpec other) {
        return id.equals(other.id)
                && taskClass.equals(other.taskClass)
                && service.equals(other.service)
                && idempotencyKey.equals(other.idempotencyKey)
                && cores == other.cores
                && memory == other.memory;
    }
}
