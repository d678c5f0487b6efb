package thornferry.placer;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import thornferry.placer.Account.Role;
import thornferry.protocol.Destinations;

/** Which destination takes which role: the one place where that stands. */
final class DestinationPermissions {
    /** What a destination leads to. */
    enum Endpoint {
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

    private static final Map<String, Endpoint> SEND =
            Map.ofEntries(
                    Map.entry(Destinations.TASKS, Endpoint.TASKS),
                            Map.entry(Destinations.STOP, Endpoint.STOP),
                    Map.entry(Destinations.WHY, Endpoint.WHY),
                            Map.entry(Destinations.WAITING, Endpoint.WAITING),
                    Map.entry(Destinations.LIMITS, Endpoint.LIMITS),
                            Map.entry(Destinations.RELOAD, Endpoint.RELOAD),
                    Map.entry(Destinations.REGISTER, Endpoint.REGISTER),
                            Map.entry(Destinations.ANSWERS, Endpoint.ANSWERS),
                    Map.entry(Destinations.PROBES, Endpoint.PROBES),
                            Map.entry(Destinations.DRAIN, Endpoint.DRAIN));

    private static final Map<String, Endpoint> SUBSCRIBE =
            Map.of(
                    Destinations.RESULTS,
                    Endpoint.RESULTS,
                    Destinations.WAITING,
                    Endpoint.WAITING,
                    Destinations.NODES,
                    Endpoint.NODES);

    private DestinationPermissions() {}

    /** What a SEND leads to, or null where there is no such destination. */
    static Endpoint send(String destination) {
        return SEND.get(destination);
    }

    /** What a SUBSCRIBE leads to, or null. Names are compared whole: there are no patterns. */
    static Endpoint subscribe(String destination) {
        return Destinations.nodeOfOffers(destination) != null
                ? Endpoint.OFFERS
                : destination.startsWith(Destinations.REPLIES)
                        ? Endpoint.REPLIES
                        : SUBSCRIBE.get(destination);
    }

    static boolean allows(Role role, Endpoint to) {
        return switch (to) {
            case TASKS, STOP, RESULTS, WAITING, WHY, LIMITS -> OWNERS.contains(role);
            case REGISTER, ANSWERS, PROBES, OFFERS -> AGENTS.contains(role);
            case RELOAD, NODES -> OPERATORS.contains(role);
            case DRAIN -> role != Role.OWNER; // an agent only of itself
            case REPLIES -> true; // each connection's own
        };
    }
}
