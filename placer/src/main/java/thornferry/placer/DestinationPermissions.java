package thornferry.placer;

import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import thornferry.placer.Account.Role;
import thornferry.protocol.Destinations;

/** The destinations of the server and the roles that may use them. */
final class DestinationPermissions {
    /** A destination of the server, or a group of destinations with a common prefix. */
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

    private static final Set<Role> CLIENTS = EnumSet.of(Role.OWNER, Role.OPERATOR);
    private static final Set<Role> AGENTS = EnumSet.of(Role.AGENT);
    private static final Set<Role> OPERATORS = EnumSet.of(Role.OPERATOR);
    private static final Set<Role> AGENTS_AND_OPERATORS = EnumSet.of(Role.AGENT, Role.OPERATOR);

    private static final Map<String, Endpoint> SEND_ENDPOINTS =
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

    private static final Map<String, Endpoint> SUBSCRIBE_ENDPOINTS =
            Map.ofEntries(
                    Map.entry(Destinations.RESULTS, Endpoint.RESULTS),
                    Map.entry(Destinations.WAITING, Endpoint.WAITING),
                    Map.entry(Destinations.NODES, Endpoint.NODES));

    private DestinationPermissions() {}

    /** Returns the endpoint of a SEND frame; empty if there is no such destination. */
    static Optional<Endpoint> sendEndpoint(String destination) {
        return Optional.ofNullable(SEND_ENDPOINTS.get(destination));
    }

    /**
     * Returns the endpoint of a SUBSCRIBE frame; empty if there is no such destination. Wildcards
     * are not supported.
     */
    static Optional<Endpoint> subscribeEndpoint(String destination) {
        if (Destinations.nodeOfOffers(destination) != null) {
            return Optional.of(Endpoint.OFFERS);
        }
        if (destination.startsWith(Destinations.REPLIES)) {
            return Optional.of(Endpoint.REPLIES);
        }
        return Optional.ofNullable(SUBSCRIBE_ENDPOINTS.get(destination));
    }

    /** Returns whether a role may use an endpoint. */
    static boolean allows(Role role, Endpoint endpoint) {
        return switch (endpoint) {
            case TASKS, STOP, RESULTS, WAITING, WHY, LIMITS -> CLIENTS.contains(role);
            case REGISTER, ANSWERS, PROBES, OFFERS -> AGENTS.contains(role);
            case RELOAD, NODES -> OPERATORS.contains(role);
            // OperatorHandler lets an agent drain only itself
            case DRAIN -> AGENTS_AND_OPERATORS.contains(role);
            case REPLIES -> true; // each connection has its own reply destinations
        };
    }
}
