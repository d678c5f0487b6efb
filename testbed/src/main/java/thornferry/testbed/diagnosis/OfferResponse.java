package thornferry.testbed.diagnosis;

import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Offer;

/** The response of a scripted node to an offer. */
@FunctionalInterface
interface OfferResponse {
    /** Accepts the offer and runs the task. */
    OfferResponse RUN = ScriptedNode::run;

    /** Does not answer the offer. */
    OfferResponse IGNORE = (node, offer) -> {};

    /** Returns a response that rejects every offer for the given reason. */
    static OfferResponse reject(Answer.Reason reason) {
        return (node, offer) -> node.reject(offer, reason);
    }

    /** Responds to an offer on the event loop of the node's connection. */
    void respond(ScriptedNode node, Offer offer);
}
