package thornferry.decisions.attempts;

import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.OutcomeReason;

/**
 * How an attempt ended, for the placement policy.
 *
 * @param load the machine's load report that came with it, or null where there is none
 */
record AttemptEnding(AttemptOutcome outcome, OutcomeReason reason, LoadReport load) {
    static final AttemptEnding LOST = withoutReason(AttemptOutcome.LOST);

    static AttemptEnding withoutReason(AttemptOutcome outcome) {
        return new AttemptEnding(outcome, OutcomeReason.NONE, null);
    }

    boolean provesNeverRan() {
        return outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.UNREACHABLE;
    }

    /**
     * The event for the policy.
     *
     * @param placed whether the attempt had been placed, so that its request is settled
     */
    AttemptEnded event(long now, Attempt attempt, boolean placed) {
        return new AttemptEnded(
                attempt.requestId(),
                attempt.number(),
                attempt.machine(),
                outcome,
                attempt.ageMicros(now),
                placed,
                reason,
                load);
    }
}
