package thornferry.decisions.recovery;

import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.TaskSpec;

/**
 * An attempt that has ended on a machine, as the machine still remembers it.
 *
 * @param status the final status
 * @param ran with {@code CANCELLED}: whether the task had started
 * @param endedAtMicros when it ended, in microseconds since 1970
 */
public record RetainedAttempt(
        String attempt,
        String owner,
        TaskSpec spec,
        Idempotency idempotency,
        AttemptStatus status,
        boolean ran,
        long endedAtMicros) {}
