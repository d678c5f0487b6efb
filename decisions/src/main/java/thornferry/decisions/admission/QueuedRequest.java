package thornferry.decisions.admission;

/**
 * One ask. {@code rejectedBy} is the machine that turned the task down last time, empty for none;
 * {@code expectedRunMicros} 0 if unknown.
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
        String rejectedBy) {}
