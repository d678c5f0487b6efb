package thornferry.decisions.requests;

/**
 * A task as its owner asks for it; {@code maxWaitMicros} null where not said, microseconds else.
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
    /** The same task: patience and run time may differ from one ask to the next. */
    boolean sameShape(TaskSpec o) {
        return id.equals(o.id)
                && taskClass.equals(o.taskClass)
                && service.equals(o.service)
                && idempotencyKey.equals(o.idempotencyKey)
                && cores == o.cores
                && memory == o.memory;
    }
}
