package thornferry.testbed.diagnosis;

import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.Why;

/**
 * The reason that the placer must report for a pending task.
 *
 * @param kind kind of the reason
 * @param evidence text that the reason's sentence must contain, such as the name of a node; may be
 *     empty
 */
record ExpectedReason(Reason.Kind kind, String evidence) {
    /** Returns an expectation of a kind of reason with any sentence. */
    static ExpectedReason ofKind(Reason.Kind kind) {
        return new ExpectedReason(kind, "");
    }

    boolean matches(Why why) {
        Reason reason = why.getReason();
        return reason.getKind() == kind && reason.getSentence().contains(evidence);
    }
}
