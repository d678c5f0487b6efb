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
 * @param ran true if the attempt may have had effects
 * @param coresUsed cores in use by the running task
 * @param memoryUsed memory units in use by the running task
 * @param offer the offer; the default instance if the node does not know the attempt
 * @param silent true if the report is recorded in the history but not sent
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
    /**
     * Returns the confirmation of a cancellation if the attempt is unknown to or finished on the
     * node.
     */
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

    /** Returns true if this is the last report of the attempt. */
    boolean isFinal() {
        return kind != Answer.Kind.ACCEPTED && kind != Answer.Kind.RUNS && kind != Answer.Kind.USES;
    }
}
