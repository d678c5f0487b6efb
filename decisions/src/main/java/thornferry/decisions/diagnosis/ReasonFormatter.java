package thornferry.decisions.diagnosis;

import java.util.List;
import thornferry.decisions.admission.Amounts;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Reason;

/** Reasons in plain sentences, for people. */
final class ReasonFormatter {
    private ReasonFormatter() {}

    static String sentence(Reason r) {
        String end = r.endsWhen().isEmpty() ? "" : ". It ends when " + r.endsWhen();
        return opening(r) + details(r.evidence()) + end + ".";
    }

    private static String opening(Reason r) {
        return switch (r.kind()) {
            case UNSATISFIABLE -> "No node is large enough, or of the kind it needs";
            case NO_CAPACITY -> "No node has room for it now";
            case REJECTED -> "Nodes turned it down";
            case MACHINES_EJECTED -> "The nodes that could take it are out of reach or silent";
            case KEY_HELD -> "Its key is held";
            case DRAINING -> "The nodes that could take it are draining";
            case SPREAD_LIMIT -> "As many of its service as may be stand wherever there is room";
            case WARMING_UP -> "The nodes that could take it have just started";
            case NO_MACHINES -> "No node is connected";
            case OWNER_QUOTA -> "A limit of yours is reached";
            case TENANT_QUOTA -> "A limit of your tenant is reached";
            case FAIR_SHARE -> "Your tenant has its share, and others come first";
            case OVERLOADED -> "More is asked of the placer than can be placed";
            case CAPACITY_RESERVED -> "Room is being kept for a larger task of more worth";
            case INDETERMINATE -> "An earlier attempt may have run, and that is not known yet";
            case AWAITING_RESPONSE -> "It was offered to a node, whose answer is due";
            case QUEUED -> "Its turn has not come";
        };
    }

    private static String details(List<Evidence> evidence) {
        StringBuilder text = new StringBuilder();
        for (Evidence e : evidence) {
            text.append(text.length() == 0 ? ": " : "; ").append(e.description());
            if (!e.name().isEmpty()) {
                text.append(' ').append(e.name());
            }
            if (e.machines() > 1 || e.machines() == 1 && e.name().isEmpty()) {
                text.append(" (")
                        .append(e.machines())
                        .append(e.machines() == 1 ? " node)" : " nodes)");
            }
            if (!Double.isNaN(e.needed())) {
                text.append(' ').append(Amounts.format(e.needed()));
            }
            if (!Double.isNaN(e.available())) {
                text.append(Double.isNaN(e.needed()) ? " " : ", has ")
                        .append(Amounts.format(e.available()));
            }
        }
        return text.toString();
    }
}
