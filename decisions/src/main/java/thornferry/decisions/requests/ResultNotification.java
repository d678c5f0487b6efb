package thornferry.decisions.requests;

import thornferry.decisions.attempts.TerminationCause;

/**
 * What an owner is told; one of {@code result} and {@code terminationCause} is null. {@code
 * retryAfterMicros} microseconds.
 */
public record ResultNotification(
        long sequence,
        String owner,
        String task,
        RequestResult result,
        TerminationCause terminationCause,
        String machine,
        String reason,
        long retryAfterMicros,
        boolean repeated) {}
