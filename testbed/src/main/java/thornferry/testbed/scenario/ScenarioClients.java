package thornferry.testbed.scenario;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import thornferry.decisions.placement.Placement;
import thornferry.protocol.ClientConnection;

/** All clients of a scenario: one {@link ClientWorkload} for each placer. */
final class ScenarioClients implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;
    private static final long SEED_FACTOR = 31;
    private static final long DISCONNECT_MILLIS = 300;
    private static final double NORMAL_RATE = 1;

    private final ScenarioFile scenario;
    private final LoginTargets targets;
    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    private final List<ClientWorkload> workloads = new ArrayList<>();
    private volatile double rateFactor = NORMAL_RATE;

    ScenarioClients(ScenarioFile scenario, LoginTargets targets) {
        this.scenario = scenario;
        this.targets = targets;
    }

    /** Connects the clients of every placer. */
    void connect(List<PlacerProcess> placers) {
        Set<String> nonIdempotentClasses = nonIdempotentClasses();
        for (int number = 0; number < placers.size(); number++) {
            PlacerProcess placer = placers.get(number);
            workloads.add(
                    new ClientWorkload(
                            loops.next(),
                            clientTargets(placer),
                            nonIdempotentClasses,
                            placer.name() + "-t",
                            scenario.seed() * SEED_FACTOR + number));
        }
    }

    private Set<String> nonIdempotentClasses() {
        return scenario.site().placement().classes().stream()
                .filter(each -> each.idempotency() == Placement.Idempotency.NON_IDEMPOTENT)
                .map(Placement.TaskClass::name)
                .collect(Collectors.toSet());
    }

    private List<ClientConnection.Target> clientTargets(PlacerProcess placer) {
        List<ClientConnection.Target> clientTargets = new ArrayList<>();
        for (int client = 0; client < scenario.settings().clientsPerPlacer(); client++) {
            clientTargets.add(targets.target(placer.address(), ScenarioAccounts.client(client)));
        }
        return clientTargets;
    }

    /** Starts all streams, each shared evenly by the placers, and the random disconnects. */
    void startTraffic() {
        int placerCount = scenario.settings().placerCount();
        for (ClientWorkload workload : workloads) {
            scenario.traffic()
                    .forEach(
                            stream -> workload.startStream(stream, () -> rateFactor / placerCount));
            scenario.settings()
                    .meanDisconnectIntervalSeconds()
                    .ifPresent(
                            seconds ->
                                    workload.disconnectRepeatedly(
                                            seconds * placerCount, DISCONNECT_MILLIS));
        }
    }

    /** Ends all streams, retries and random disconnects. */
    void stopTraffic() {
        workloads.forEach(ClientWorkload::stopSubmitting);
    }

    /** Multiplies the rate of all streams, until {@link #endSurge}. */
    void startSurge(double factor) {
        rateFactor = factor;
    }

    /** Returns to the normal rate. */
    void endSurge() {
        rateFactor = NORMAL_RATE;
    }

    /** Stops a fraction of all placed tasks and submits as many new ones. */
    void restartServices(double fraction) {
        workloads.forEach(workload -> workload.restartServices(fraction));
    }

    /** Breaks the connections of a fraction of the clients, which reconnect after a time. */
    void disconnectFraction(double fraction, long awayMillis) {
        workloads.forEach(workload -> workload.disconnectFraction(fraction, awayMillis));
    }

    /** The sum over all placers. */
    WorkloadTotals totals() {
        return workloads.stream()
                .map(ClientWorkload::totals)
                .reduce(WorkloadTotals.ZERO, WorkloadTotals::plus);
    }

    /** Disconnects all clients and stops their event loops. */
    @Override
    public void close() {
        workloads.forEach(ClientWorkload::close);
        loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
