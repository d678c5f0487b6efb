package thornferry.testbed.scenario;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.testbed.capture.Capture;

/**
 * The cluster under test: placers in processes of their own, each behind a recording proxy, and the
 * nodes, in this process or in processes of their own.
 */
final class ScenarioCluster implements AutoCloseable {
    private static final boolean WARM = true;

    private final ScenarioFile scenario;
    private final Optional<ScenarioKeys> keys;
    private final LoginTargets targets;
    private final Capture capture;
    private final Path workFolder;
    private final AgentPool pool;
    private final AtomicLong policyFailures = new AtomicLong();
    private final List<PlacerProcess> placers = new ArrayList<>();
    private final List<NodeProcess> nodeProcesses = new ArrayList<>();

    /**
     * @param workFolder where the placers write their journals
     */
    ScenarioCluster(
            ScenarioFile scenario,
            Optional<ScenarioKeys> keys,
            LoginTargets targets,
            Capture capture,
            Path workFolder) {
        this.scenario = scenario;
        this.keys = keys;
        this.targets = targets;
        this.capture = capture;
        this.workFolder = workFolder;
        pool = FleetNodes.newPool(targets);
    }

    /** Starts the placers, then the nodes, which have been up for long. */
    void start() throws IOException {
        for (int number = 0; number < scenario.settings().placerCount(); number++) {
            placers.add(
                    PlacerProcess.start(
                            placerArguments(number), targets, capture, policyFailures::addAndGet));
        }
        if (!scenario.settings().hasNodeProcesses()) {
            List<SocketAddress> addresses = new ArrayList<>();
            placers.forEach(placer -> addresses.add(placer.address()));
            new FleetNodes(scenario, pool, addresses).start(zone -> true, WARM);
        }
        for (int number = 0; number < scenario.settings().nodeProcessCount(); number++) {
            nodeProcesses.add(NodeProcess.start(nodeArguments(number), capture));
        }
    }

    private ChildArguments.Placer placerArguments(int number) {
        return new ChildArguments.Placer(
                scenario.script(),
                scenario.seed(),
                number,
                keys,
                workFolder.resolve("state" + number),
                scenario.site().state().durability());
    }

    private ChildArguments.Nodes nodeArguments(int number) {
        List<Integer> placerPorts =
                placers.stream().map(placer -> placer.address().getPort()).toList();
        return new ChildArguments.Nodes(
                scenario.script(), scenario.seed(), number, keys, WARM, placerPorts);
    }

    List<PlacerProcess> placers() {
        return placers;
    }

    /** The processes with nodes; none if the nodes run in this process. */
    List<NodeProcess> nodeProcesses() {
        return nodeProcesses;
    }

    /** The nodes in this process; none if they run in processes of their own. */
    List<NodeAgent> nodes() {
        return pool.nodes();
    }

    /** Failures of the placement policy, over all placers and their restarts. */
    long policyFailures() {
        return policyFailures.get();
    }

    /** Closes the nodes and proxies and kills all processes. */
    @Override
    public void close() {
        pool.close();
        placers.forEach(PlacerProcess::close);
        nodeProcesses.forEach(NodeProcess::close);
    }
}
