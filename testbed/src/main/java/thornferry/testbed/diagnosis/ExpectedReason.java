package thornferry.testbed.diagnosis;

import thornferry.protocol.v1.Reason;
import thornferry.protocol.v1.Why;

/**
 * The reason that the placer must report for a pending task.
 *
 * @param kind the kind of the reason
 * @param evidence text that its sentence must contain, such as the name of a node; may be empty
 */
record ExpectedReason(Reason.Kind kind, String evidence) {
    /** Expects a kind with any sentence. */
    static ExpectedReason ofKind(Reason.Kind kind) {
        return new ExpectedReason(kind, "");
    }

    boolean matches(Why why) {
        Reason reason = why.getReason();
        return reason.getKind() == kind && reason.getSentence().contains(evidence);
    }
}
