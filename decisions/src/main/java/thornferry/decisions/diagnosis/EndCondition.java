package thornferry.decisions.diagnosis;

import java.util.Locale;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.placement.Placement.Pending;

/**
 * Texts that say what would end a reason. Each completes the sentence "It ends when ...". The texts
 * are part of the wire protocol, because clients match on them.
 */
final class EndCondition {
    static final String MACHINE_REPORTED = "the node has said what became of it, or patience ends";
    static final String MACHINES_REPORTED = "nodes have said what runs, or the settle time is over";
    static final String DISPATCHED = "its turn comes";
    static final String POLICY_DECIDED = "the module has looked at it";
    static final String RETRIED = "it is asked for again";
    static final String REQUESTS_AHEAD_PLACED = "those before it are placed or leave";
    static final String RESERVATION_ENDED = "the larger task is placed, or the time for it is over";
    static final String LOAD_DECREASED = "less is asked for, or more is placed";
    static final String TENANT_BELOW_SHARE =
            "tasks of your tenant end, or the other tenants' turn is over";
    static final String QUOTA_REFILLED = "time passes: the limit counts by the second";
    static final String OWNER_BELOW_QUOTA = "a task of yours ends, or the limit is raised";
    static final String TENANT_BELOW_QUOTA = "a task of your tenant ends, or the limit is raised";
    static final String SITE_BELOW_QUOTA = "a task of the site ends, or the limit is raised";

    private static final String LARGE_ENOUGH_MACHINE_JOINED =
            "a node that is large enough, and of the kind it needs, joins";
    private static final String REJECTING_MACHINE_FREED =
            "a node that refused reports more room, or another has room";
    private static final String KEY_RELEASED = "the copy ends and the key's window is over";
    private static final String SERVICE_TASK_ENDED = "a task of its service ends there";
    private static final String SLOW_START_ENDED = "the nodes have been up for longer";
    private static final String MACHINE_CONNECTED = "a node connects";
    private static final String KEY_SCOPE_FREED =
            "a node of that group has room, or the key's window is over";
    private static final String ANY_TASK_ENDED = "a task ends somewhere";
    private static final String SILENT_MACHINE_ANSWERED = "a silent node answers again";
    private static final String ANY_DRAIN_ENDED = "the drain ends, or another node has room";

    private EndCondition() {}

    static String machineAnswers(String machine) {
        return "node " + machine + " answers, or its time is over";
    }

    static String machineReconnects(String machine) {
        return "node " + machine + " connects and says whether it has it, or its time is over";
    }

    /** Returns the condition for a kind that {@link ReasonClassifier} can determine. */
    static String of(Kind kind, Pending pending, UnavailableMachines unavailable) {
        return switch (kind) {
            case NO_CAPACITY -> capacityFreed(pending);
            case UNSATISFIABLE -> LARGE_ENOUGH_MACHINE_JOINED;
            case REJECTED -> REJECTING_MACHINE_FREED;
            case MACHINES_EJECTED -> machineAvailableAgain(unavailable);
            case KEY_HELD -> KEY_RELEASED;
            case DRAINING -> drainEnded(unavailable);
            case SPREAD_LIMIT -> SERVICE_TASK_ENDED;
            case WARMING_UP -> SLOW_START_ENDED;
            case NO_MACHINES -> MACHINE_CONNECTED;
            case INDETERMINATE -> KEY_SCOPE_FREED;
            default -> "";
        };
    }

    private static String capacityFreed(Pending pending) {
        return pending.closestMachine().isEmpty()
                ? ANY_TASK_ENDED
                : "node "
                        + pending.closestMachine()
                        + " frees "
                        + formatShortfall(pending.missingCores(), pending.missingMemory())
                        + ", or another as much";
    }

    private static String formatShortfall(double cores, double memory) {
        boolean lacksCores = cores > ReasonClassifier.MIN_SHORTFALL;
        boolean lacksMemory = memory > ReasonClassifier.MIN_SHORTFALL;
        if (lacksCores && lacksMemory) {
            return formatAmount(cores) + " cores and " + formatAmount(memory) + " memory";
        }
        if (lacksCores) {
            return formatAmount(cores) + " cores";
        }
        return lacksMemory ? formatAmount(memory) + " memory" : "a little";
    }

    private static String formatAmount(double amount) {
        return String.format(Locale.ROOT, "%.2f", amount);
    }

    private static String machineAvailableAgain(UnavailableMachines unavailable) {
        if (unavailable.disconnected().isEmpty()) {
            return SILENT_MACHINE_ANSWERED;
        }
        int others = unavailable.disconnected().size() - 1;
        return "node "
                + unavailable.disconnected().get(0)
                + " connects"
                + (others > 0 ? ", or one of " + others + " more" : "");
    }

    private static String drainEnded(UnavailableMachines unavailable) {
        return unavailable.draining().isEmpty()
                ? ANY_DRAIN_ENDED
                : "the drain of node "
                        + unavailable.draining().get(0)
                        + " ends, or another node has room";
    }
}
