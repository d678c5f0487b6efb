package thornferry.decisions.diagnosis;

import java.util.List;
import thornferry.decisions.admission.Amounts;
import thornferry.decisions.diagnosis.PendingReasons.Evidence;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.diagnosis.PendingReasons.Reason;

/**
 * Formats a reason as text: its kind, the evidence, and what would end it. The texts are part of
 * the wire protocol, because clients match on them.
 */
final class ReasonFormatter {
    private ReasonFormatter() {}

    static String format(Reason reason) {
        String ending = reason.endsWhen().isEmpty() ? "" : ". It ends when " + reason.endsWhen();
        return opening(reason.kind()) + formatEvidence(reason.evidence()) + ending + ".";
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

    private static String formatEvidence(List<Evidence> evidence) {
        StringBuilder text = new StringBuilder();
        for (Evidence item : evidence) {
            text.append(text.length() == 0 ? ": " : "; ").append(item.description());
            if (!item.name().isEmpty()) {
                text.append(' ').append(item.name());
            }
            text.append(formatMachineCount(item)).append(formatAmounts(item));
        }
        return text.toString();
    }

    /** Returns the number of machines in parentheses, or an empty text for one named machine. */
    private static String formatMachineCount(Evidence item) {
        if (item.machines() > 1) {
            return " (" + item.machines() + " nodes)";
        }
        return item.machines() == 1 && item.name().isEmpty() ? " (1 node)" : "";
    }

    private static String formatAmounts(Evidence item) {
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
