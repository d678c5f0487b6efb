package thornferry.decisions.recovery;

import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.TaskSpec;

/**
 * An attempt that has ended and that its machine still remembers.
 *
 * @param status the final status of the attempt
 * @param ran with {@code CANCELLED}, whether the task had started
 * @param endedAtMicros the time at which the attempt ended, in microseconds since 1970
 */
public record RetainedAttempt(
        String attempt,
        String owner,
        TaskSpec spec,
        Idempotency idempotency,
        AttemptStatus status,
        boolean ran,
        long endedAtMicros) {}
