package thornferry.decisions.diagnosis;

import java.util.List;
import thornferry.decisions.admission.Amounts;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.Reason;

/**
 * Formats a reason as one plain sentence: the kind, the evidence and what would end it. Part of the
 * wire protocol: clients match on these texts.
 */
final class ReasonFormatter {
    private ReasonFormatter() {}

    static String sentence(Reason reason) {
        String end = reason.endsWhen().isEmpty() ? "" : ". It ends when " + reason.endsWhen();
        return opening(reason.kind()) + details(reason.evidence()) + end + ".";
    }

    private static String opening(Kind kind) {
        return switch (kind) {
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
        for (Evidence item : evidence) {
            text.append(text.length() == 0 ? ": " : "; ").append(item.description());
            if (!item.name().isEmpty()) {
                text.append(' ').append(item.name());
            }
            text.append(machines(item)).append(amounts(item));
        }
        return text.toString();
    }

    /** The number of machines, unless that is one and it is named. */
    private static String machines(Evidence item) {
        if (item.machines() > 1) {
            return " (" + item.machines() + " nodes)";
        }
        return item.machines() == 1 && item.name().isEmpty() ? " (1 node)" : "";
    }

    private static String amounts(Evidence item) {
        if (item.hasNeeded() && item.hasAvailable()) {
            return " "
                    + Amounts.format(item.needed())
                    + ", has "
                    + Amounts.format(item.available());
        }
        if (item.hasNeeded()) {
            return " " + Amounts.format(item.needed());
        }
        return item.hasAvailable() ? " " + Amounts.format(item.available()) : "";
    }
}
