package thornferry.decisions.recovery;

import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.TaskSpec;

/** What a machine remembers of an attempt that is over there since {@code endedAtMicros}. */
public record RetainedAttempt(
        String attempt,
        String owner,
        TaskSpec spec,
        Idempotency idempotency,
        AttemptStatus status,
        boolean ran,
        long endedAtMicros) {}
