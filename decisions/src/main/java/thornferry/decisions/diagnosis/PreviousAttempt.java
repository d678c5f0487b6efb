package thornferry.decisions.diagnosis;

import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.AttemptOutcome;

/**
 * How the last attempt of a pending task failed.
 *
 * @param machine where it was made; empty for none
 * @param outcome null until the attempt has ended
 * @param rejection why the machine rejected the offer; NONE unless it did
 */
record PreviousAttempt(String machine, AttemptOutcome outcome, RejectionReason rejection) {
    static final PreviousAttempt NONE = new PreviousAttempt("", null, RejectionReason.NONE);

    /** The machine rejected the offer; its outcome is reported separately. */
    PreviousAttempt withRejection(String rejectingMachine, RejectionReason reason) {
        return new PreviousAttempt(rejectingMachine, outcome, reason);
    }

    /** The attempt ended; a rejection reason reported before counts only for a rejection. */
    PreviousAttempt withOutcome(String attemptMachine, AttemptOutcome ended) {
        return new PreviousAttempt(
                attemptMachine,
                ended,
                ended == AttemptOutcome.REJECTED ? rejection : RejectionReason.NONE);
    }

    boolean wasRejected() {
        return outcome == AttemptOutcome.REJECTED;
    }
}
