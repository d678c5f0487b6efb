package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The nodes that have registered, by their names. */
final class TracedNodes {
    /** Stands for a node that has not registered. */
    private static final TracedNode UNREGISTERED = new TracedNode();

    private final Map<String, TracedNode> nodes = new HashMap<>();

    TracedNode findOrAdd(String name) {
        return nodes.computeIfAbsent(name, n -> new TracedNode());
    }

    Optional<TracedNode> find(String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    /** The zone of a node; empty if it has not registered. */
    String zoneOf(String name) {
        return nodes.getOrDefault(name, UNREGISTERED).zone();
    }

    boolean areInSameGroup(NodeGroup group, String firstName, String secondName) {
        TracedNode first = nodes.getOrDefault(firstName, UNREGISTERED);
        TracedNode second = nodes.getOrDefault(secondName, UNREGISTERED);
        boolean sameZone = first.zone().equals(second.zone());
        return switch (group) {
            case ALL -> true;
            case ZONE -> sameZone;
            case CELL -> sameZone && first.cell() == second.cell();
            case MACHINE -> firstName.equals(secondName);
        };
    }
}
