package thornferry.decisions;

import java.util.List;
import java.util.Locale;
import thornferry.decisions.Reasons.Evidence;
import thornferry.decisions.Reasons.Reason;

/** Reasons in plain sentences, for people. */
final class Words {
    private Words() {}

    static String sentence(Reason r) {
        String end = r.ends().isEmpty() ? "" : ". It ends when " + r.ends();
        return opening(r) + details(r.evidence()) + end + ".";
    }

    private static String opening(Reason r) {
        return switch (r.kind()) {
            case NO_FIT -> "No node is large enough, or of the kind it needs";
            case NO_ROOM -> "No node has room for it now";
            case REFUSED -> "Nodes turned it down";
            case OUT_OF_TRUST -> "The nodes that could take it are out of reach or silent";
            case KEY_HELD -> "Its key is held";
            case DRAINING -> "The nodes that could take it are draining";
            case SPREAD -> "As many of its service as may be stand wherever there is room";
            case COLD -> "The nodes that could take it have just started";
            case NO_NODES -> "No node is connected";
            case OWN_LIMIT -> "A limit of yours is reached";
            case TENANT_LIMIT -> "A limit of your tenant is reached";
            case TENANT_SHARE -> "Your tenant has its share, and others come first";
            case OVERLOADED -> "More is asked of the placer than can be placed";
            case GATHERING -> "Room is being kept for a larger task of more worth";
            case PROOF -> "An earlier attempt may have run, and that is not known yet";
            case ANSWER -> "It was offered to a node, whose answer is due";
            case TURN -> "Its turn has not come";
        };
    }

    private static String details(List<Evidence> evidence) {
        StringBuilder text = new StringBuilder();
        for (Evidence e : evidence) {
            text.append(text.length() == 0 ? ": " : "; ").append(e.what());
            if (!e.name().isEmpty()) {
                text.append(' ').append(e.name());
            }
            if (e.nodes() > 1 || e.nodes() == 1 && e.name().isEmpty()) {
                text.append(" (").append(e.nodes()).append(e.nodes() == 1 ? " node)" : " nodes)");
            }
            if (!Double.isNaN(e.needs())) {
                text.append(' ').append(number(e.needs()));
            }
            if (!Double.isNaN(e.has())) {
                text.append(Double.isNaN(e.needs()) ? " " : ", has ").append(number(e.has()));
            }
        }
        return text.toString();
    }

    static String number(double x) {
        return x == Math.rint(x) ? Long.toString((long) x) : String.format(Locale.ROOT, "%.2f", x);
    }
}
