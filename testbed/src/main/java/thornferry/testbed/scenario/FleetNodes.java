package thornferry.testbed.scenario;

import java.net.SocketAddress;
import java.util.List;
import java.util.function.Predicate;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;

/** Starts the nodes of a scenario's fleets in this process. */
final class FleetNodes {
    private static final int EVENT_LOOPS = 2;
    private static final long SEED_FACTOR = 1_009;

    private final ScenarioFile scenario;
    private final AgentPool pool;
    private final PlacerLogin login;

    /**
     * @param placers addresses that each node connects to
     */
    FleetNodes(ScenarioFile scenario, AgentPool pool, List<SocketAddress> placers) {
        this.scenario = scenario;
        this.pool = pool;
        login =
                new PlacerLogin(
                        placers,
                        ScenarioAccounts.AGENT,
                        ScenarioAccounts.PASSCODE,
                        scenario.site().heartbeat());
    }

    /** An empty pool whose nodes connect as the other peers do. */
    static AgentPool newPool(LoginTargets targets) {
        return new AgentPool(EVENT_LOOPS, targets.tlsOrNull());
    }

    /**
     * Starts the nodes of some zones. Names and seeds of the nodes do not depend on the selection.
     *
     * @param warm whether the nodes have been up for long; else they begin with a slow start
     */
    void start(Predicate<String> zones, boolean warm) {
        int nodeNumber = 0;
        for (Fleet fleet : scenario.fleets()) {
            for (int index = 0; index < fleet.nodeCount(); index++) {
                nodeNumber++;
                if (zones.test(fleet.zoneOf(index))) {
                    pool.add(
                            shape(fleet, index, nodeNumber),
                            fleet.behavior(),
                            login,
                            scenario.seed() * SEED_FACTOR + nodeNumber,
                            NodeAgent.Watcher.NONE,
                            warm);
                }
            }
        }
    }

    /** The shape of a node, which has a cell of its own among the nodes of its fleet. */
    private static NodeShape shape(Fleet fleet, int index, int nodeNumber) {
        return new NodeShape(
                fleet.name() + "-" + nodeNumber,
                fleet.machineKind().name(),
                fleet.zoneOf(index),
                index,
                fleet.machineKind().cores(),
                fleet.machineKind().memory());
    }
}
