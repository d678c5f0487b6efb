package thornferry.decisions.diagnosis;

import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.AttemptOutcome;

/**
 * The last failed attempt of a pending task.
 *
 * @param machine machine of the attempt; empty if there was no attempt
 * @param outcome outcome of the attempt; null until the attempt has ended
 * @param rejection reason for which the machine rejected the offer; {@link RejectionReason#NONE} if
 *     it did not
 */
record PreviousAttempt(String machine, AttemptOutcome outcome, RejectionReason rejection) {
    static final PreviousAttempt NONE = new PreviousAttempt("", null, RejectionReason.NONE);

    /** Returns an attempt whose offer was rejected; its outcome is reported separately. */
    PreviousAttempt withRejection(String rejectingMachine, RejectionReason reason) {
        return new PreviousAttempt(rejectingMachine, outcome, reason);
    }

    /**
     * Returns an attempt that has ended. A rejection reason that was reported before is kept only
     * if the outcome is a rejection.
     */
    PreviousAttempt withOutcome(String attemptMachine, AttemptOutcome newOutcome) {
        return new PreviousAttempt(
                attemptMachine,
                newOutcome,
                newOutcome == AttemptOutcome.REJECTED ? rejection : RejectionReason.NONE);
    }

    boolean wasRejected() {
        return outcome == AttemptOutcome.REJECTED;
    }
}
