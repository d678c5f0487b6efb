package thornferry.testbed.scenario;

import java.util.List;
import thornferry.agent.NodeBehavior;
import thornferry.decisions.placement.Placement;

/**
 * A number of nodes that are alike.
 *
 * @param name prefix of the names of the nodes
 * @param nodeCount number of nodes
 * @param machineKind their size
 * @param zones over which the nodes are distributed in turn
 * @param behavior how they emulate tasks
 */
public record Fleet(
        String name,
        int nodeCount,
        Placement.MachineKind machineKind,
        List<String> zones,
        NodeBehavior behavior) {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Copies the list. */
    public Fleet {
        zones = List.copyOf(zones);
    }

    /** The zone of one of the nodes. */
    String zoneOf(int nodeIndex) {
        return zones.get(nodeIndex % zones.size());
    }

    /** How many tasks a second one node can start if it has none of their programs. */
    double coldStartsPerSecond() {
        double startMicros = behavior.startMicros() * behavior.coldProgramFactor();
        return behavior.concurrentStarts() * MICROS_PER_SECOND / Math.max(1, startMicros);
    }
}
