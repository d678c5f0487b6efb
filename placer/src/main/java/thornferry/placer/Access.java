package thornferry.placer;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import thornferry.placer.Account.Role;
import thornferry.protocol.Destinations;

/** Which destination takes which role: the one place where that stands. */
final class Access {
    /** What a destination leads to. */
    enum To {
        TASKS,
        STOP,
        RESULTS,
        WAITING,
        WHY,
        LIMITS,
        RELOAD,
        REGISTER,
        ANSWERS,
        PROBES,
        DRAIN,
        NODES,
        OFFERS,
        REPLIES
    }

    private static final Set<Role> OWNERS = EnumSet.of(Role.OWNER, Role.OPERATOR);
    private static final Set<Role> AGENTS = EnumSet.of(Role.AGENT);
    private static final Set<Role> OPERATORS = EnumSet.of(Role.OPERATOR);

    private static final Map<String, To> SEND =
            Map.ofEntries(
                    Map.entry(Destinations.TASKS, To.TASKS), Map.entry(Destinations.STOP, To.STOP),
                    Map.entry(Destinations.WHY, To.WHY),
                            Map.entry(Destinations.WAITING, To.WAITING),
                    Map.entry(Destinations.LIMITS, To.LIMITS),
                            Map.entry(Destinations.RELOAD, To.RELOAD),
                    Map.entry(Destinations.REGISTER, To.REGISTER),
                            Map.entry(Destinations.ANSWERS, To.ANSWERS),
                    Map.entry(Destinations.PROBES, To.PROBES),
                            Map.entry(Destinations.DRAIN, To.DRAIN));

    private static final Map<String, To> SUBSCRIBE =
            Map.of(
                    Destinations.RESULTS,
                    To.RESULTS,
                    Destinations.WAITING,
                    To.WAITING,
                    Destinations.NODES,
                    To.NODES);

    private Access() {}

    /** What a SEND leads to, or null where there is no such destination. */
    static To send(String destination) {
        return SEND.get(destination);
    }

    /** What a SUBSCRIBE leads to, or null. Names are compared whole: there are no patterns. */
    static To subscribe(String destination) {
        return Destinations.nodeOfOffers(destination) != null
                ? To.OFFERS
                : destination.startsWith(Destinations.REPLIES)
                        ? To.REPLIES
                        : SUBSCRIBE.get(destination);
    }

    static boolean allows(Role role, To to) {
        return switch (to) {
            case TASKS, STOP, RESULTS, WAITING, WHY, LIMITS -> OWNERS.contains(role);
            case REGISTER, ANSWERS, PROBES, OFFERS -> AGENTS.contains(role);
            case RELOAD, NODES -> OPERATORS.contains(role);
            case DRAIN -> role != Role.OWNER; // an agent only of itself
            case REPLIES -> true; // each connection's own
        };
    }
}
