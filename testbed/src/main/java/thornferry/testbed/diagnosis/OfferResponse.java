package thornferry.testbed.diagnosis;

import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Offer;

/** How a scripted node responds to each offer. */
@FunctionalInterface
interface OfferResponse {
    /** Accepts the task and runs it. */
    OfferResponse RUN = ScriptedNode::run;

    /** Sends no answer. */
    OfferResponse IGNORE = (node, offer) -> {};

    /** Rejects the task for a reason. */
    static OfferResponse reject(Answer.Reason reason) {
        return (node, offer) -> node.reject(offer, reason);
    }

    /** Responds to an offer on the event loop of the node's connection. */
    void respond(ScriptedNode node, Offer offer);
}
