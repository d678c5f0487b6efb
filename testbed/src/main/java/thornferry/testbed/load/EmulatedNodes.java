package thornferry.testbed.load;

import java.util.List;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;

/** The running emulated nodes of a measurement, spread over three zones. */
final class EmulatedNodes implements AutoCloseable {
    private static final List<String> ZONES = List.of("hall-a", "hall-b", "hall-c");
    private static final int THREADS = 2;

    private final AgentPool pool = new AgentPool(THREADS);

    /** Starts the nodes; they connect asynchronously. */
    EmulatedNodes(
            NodeFleet fleet, NodeBehavior behavior, PlacerLogin login, NodeAgent.Watcher watcher) {
        for (int i = 0; i < fleet.count(); i++) {
            pool.add(shape(fleet, i), behavior, login, i, watcher);
        }
    }

    private static NodeShape shape(NodeFleet fleet, int number) {
        return new NodeShape(
                "n" + number,
                fleet.kind(),
                ZONES.get(number % ZONES.size()),
                number,
                fleet.cores(),
                fleet.memory());
    }

    @Override
    public void close() {
        pool.close();
    }
}
