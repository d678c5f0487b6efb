package thornferry.placer;

import static thornferry.placer.SiteFixtures.MILLISECOND;
import static thornferry.placer.SiteFixtures.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;

/**
 * A placer with a client and some nodes in virtual time. The placer and the nodes are killed at
 * random, connections break, and frames are late or lost. A simulation depends only on its seed.
 */
final class IncarnationSimulation implements PlacerOutput {
    /**
     * The number of killed incarnations of the placer in one simulation; the last one, which
     * follows them, is not killed.
     */
    static final int INCARNATIONS = 20;

    private static final int NODES = 3;
    private static final long TICK_MICROS = 20 * MILLISECOND;
    private static final long MAX_NOTIFICATION_MICROS = 20 * MILLISECOND;
    private static final long MAX_FIRST_CONNECT_MICROS = SECOND;

    /**
     * The time for which the last incarnation runs without faults, so that each request can be
     * answered.
     */
    private static final long LAST_INCARNATION_MICROS = 40 * SECOND;

    /** A request must be answered if the last incarnation had at least this much time for it. */
    private static final long MIN_ANSWER_MICROS = 2 * SECOND;

    private final boolean journaled;
    private final VirtualTime time;
    private final SafetyMonitor monitor = new SafetyMonitor();
    private final SimulatedPlacer placer;
    private final SimulatedNetwork network;
    private final SimulatedClient client;
    private final List<SimulatedNode> nodes = new ArrayList<>();

    /**
     * Creates a simulation.
     *
     * @param journaled whether the placer has a journal; without one, no node is killed
     */
    IncarnationSimulation(long seed, boolean journaled, InjectedFault fault) {
        this.journaled = journaled;
        time = new VirtualTime(seed);
        placer = new SimulatedPlacer(time, site(seed), journaled, fault, this);
        network = new SimulatedNetwork(time, placer);
        client = new SimulatedClient(time, placer, monitor, journaled);
        for (int i = 0; i < NODES; i++) {
            nodes.add(new SimulatedNode("n" + i, time, placer, network, monitor, fault, journaled));
        }
    }

    private static Site site(long seed) {
        return SiteFixtures.site(
                seed,
                SimulatedNode.SIZE,
                List.of(
                        SiteFixtures.taskClass(SimulatedClient.SAFE, Idempotency.IDEMPOTENT),
                        SiteFixtures.taskClass(
                                SimulatedClient.KEYED, Idempotency.IDEMPOTENT_WITH_KEY),
                        SiteFixtures.taskClass(SimulatedClient.UNSAFE, Idempotency.NON_IDEMPOTENT)),
                new RequestTracker.Limits(
                        1_000, 10_000, 60 * SECOND, 30 * SECOND, 3 * SECOND, SECOND, 8 * SECOND),
                AdmissionSettings.defaults());
    }

    /** Runs all incarnations, or stops when a property is violated, and returns the violations. */
    List<String> run() {
        for (int i = 0; i < INCARNATIONS && monitor.violations().isEmpty(); i++) {
            startPlacer();
            runWithFaults(time.randomBetween(50 * MILLISECOND, 4_000 * MILLISECOND));
            killPlacer();
            if (journaled && time.oneIn(3)) {
                randomNode().kill();
            }
            advance(
                    time.randomBoolean()
                            ? time.randomBetween(10 * MILLISECOND, 300 * MILLISECOND)
                            : time.randomBetween(300 * MILLISECOND, 4_000 * MILLISECOND));
        }
        startPlacer();
        advance(LAST_INCARNATION_MICROS);
        client.requireResults(time.now() - LAST_INCARNATION_MICROS + MIN_ANSWER_MICROS);
        return monitor.violations();
    }

    private void runWithFaults(long durationMicros) {
        long endMicros = time.now() + durationMicros;
        while (time.now() < endMicros) {
            advance(time.randomBetween(20 * MILLISECOND, 200 * MILLISECOND));
            int newTasks = time.randomInt(4);
            for (int i = 0; i < newTasks; i++) {
                client.submitNewTask();
            }
            SimulatedNode node = randomNode();
            if (time.oneIn(12) && node.openConnection().isPresent()) {
                node.breakConnection(true);
            }
            if (journaled && time.oneIn(25)) {
                node.kill();
            }
        }
    }

    private SimulatedNode randomNode() {
        return nodes.get(time.randomInt(nodes.size()));
    }

    private void startPlacer() {
        placer.start();
        for (SimulatedNode node : nodes) {
            time.scheduleIn(time.randomBetween(0, MAX_FIRST_CONNECT_MICROS), node::connect);
        }
        client.resubmitAll();
    }

    private void killPlacer() {
        placer.kill();
        nodes.forEach(node -> node.breakConnection(false));
    }

    /** Advances the time, and runs all events and ticks of the placer that are due. */
    private void advance(long durationMicros) {
        long endMicros = time.now() + durationMicros;
        while (time.now() < endMicros) {
            long tickMicros = time.now() + TICK_MICROS;
            Optional<VirtualTime.Event> event = time.pollUntil(tickMicros);
            while (event.isPresent()) {
                advanceTo(event.get().atMicros());
                event.get().task().run();
                placer.runPendingTasks();
                event = time.pollUntil(tickMicros);
            }
            advanceTo(tickMicros);
            placer.tick();
            placer.runPendingTasks();
        }
    }

    private void advanceTo(long toMicros) {
        if (toMicros > time.now()) {
            placer.advanceTo(toMicros);
            time.advanceTo(toMicros);
            placer.runPendingTasks();
        }
    }

    // ---- what the placer sends ----

    @Override
    public void notifyResult(ResultNotification notification) {
        time.scheduleIn(
                time.randomBetween(0, MAX_NOTIFICATION_MICROS),
                placer.unlessKilled(() -> client.notified(notification)));
    }

    @Override
    public boolean offer(String machine, String attempt, RequestTracker.OfferDetails details) {
        Optional<SimulatedConnection> connection = network.connectionOf(machine);
        SimulatedNode node = node(machine);
        connection
                .filter(current -> current.open)
                .ifPresent(
                        current ->
                                network.sendToNode(
                                        node, current, () -> node.offered(attempt, details)));
        // also true if the connection is broken and the placer has not detected it yet
        return connection.isPresent();
    }

    @Override
    public void cancelAttempt(String machine, String attempt) {
        SimulatedNode node = node(machine);
        network.connectionOf(machine)
                .filter(current -> current.open)
                .ifPresent(
                        current ->
                                network.sendToNode(node, current, () -> node.cancelled(attempt)));
    }

    @Override
    public boolean checkHealth(String machine, long number) {
        SimulatedNode node = node(machine);
        Optional<SimulatedConnection> connection = network.connectionOf(machine);
        connection
                .filter(current -> current.open)
                .ifPresent(
                        current ->
                                network.sendToNode(
                                        node, current, () -> node.checkHealth(current, number)));
        return connection.isPresent();
    }

    private SimulatedNode node(String name) {
        return nodes.stream().filter(node -> node.name().equals(name)).findFirst().orElseThrow();
    }

    @Override
    public void notifyDrain(String machine, boolean draining) {
        // no node drains in this simulation
    }

    @Override
    public void welcome(String machine, long retentionMicros) {
        // the nodes ignore the retention time and forget attempts at random
    }

    @Override
    public void closeConnection(long connection, String reason) {
        if (!reason.startsWith("registered again") && !reason.startsWith("incarnation ")) {
            monitor.violated("the connection of a node was closed: " + reason);
        }
        placer.core().connectionClosed(connection);
    }

    @Override
    public void reasonChanged(PendingReasons.ReasonChanged changed) {
        // no client subscribes to reasons in this simulation
    }
}
