package thornferry.decisions.attempts;

import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.OutcomeReason;

/**
 * The outcome of an attempt, as the placement policy is notified of it.
 *
 * @param load the machine's load report that came with the outcome, or null if there is none
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
     * Returns the event that notifies the placement policy.
     *
     * @param placed whether the attempt had been placed, so that its request already has its result
     */
    AttemptEnded toPolicyEvent(long now, Attempt attempt, boolean placed) {
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
