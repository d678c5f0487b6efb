package thornferry.agent;

import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Offer;

/**
 * A change in the state of an attempt, addressed to the placer that offered it.
 *
 * @param placer name of the placer
 * @param attempt id of the attempt
 * @param kind what happened to the attempt
 * @param reason why an offer was rejected; {@code NONE} for other kinds
 * @param ran whether the attempt may have had effects
 * @param coresUsed cores in use by the running task
 * @param memoryUsed memory units in use by the running task
 * @param offer the offer; the default instance if the node doesn't know the attempt
 * @param silent the report is recorded in the history but not sent
 */
record AttemptReport(
        String placer,
        String attempt,
        Answer.Kind kind,
        Answer.Reason reason,
        boolean ran,
        double coresUsed,
        double memoryUsed,
        Offer offer,
        boolean silent) {
    /** Confirms the cancellation of an attempt that is unknown or finished on this node. */
    static AttemptReport cancellationOfUnknown(String placer, String attempt) {
        return new AttemptReport(
                placer,
                attempt,
                Answer.Kind.WITHDRAWN,
                Answer.Reason.NONE,
                true,
                0,
                0,
                Offer.getDefaultInstance(),
                false);
    }

    /** True if the attempt will send no more reports after this one. */
    boolean isFinal() {
        return kind != Answer.Kind.ACCEPTED && kind != Answer.Kind.RUNS && kind != Answer.Kind.USES;
    }
}
