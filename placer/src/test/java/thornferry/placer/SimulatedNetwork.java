package thornferry.placer;

import static thornferry.placer.SiteFixtures.MILLISECOND;
import static thornferry.placer.SiteFixtures.SECOND;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The connections between the nodes and the placer, with random latencies. */
final class SimulatedNetwork {
    private static final long MAX_LATENCY_MICROS = 20 * MILLISECOND;
    private static final long MAX_TRANSIT_AFTER_BREAK_MICROS = 30 * MILLISECOND;
    private static final long MAX_DETECTION_MICROS = 2 * SECOND;
    private static final long MAX_RECONNECT_DELAY_MICROS = SECOND;

    private final VirtualTime time;
    private final SimulatedPlacer placer;
    private final Map<Long, SimulatedConnection> connections = new HashMap<>();
    private long lastNumber;

    SimulatedNetwork(VirtualTime time, SimulatedPlacer placer) {
        this.time = time;
        this.placer = placer;
    }

    SimulatedConnection open() {
        SimulatedConnection connection = new SimulatedConnection(++lastNumber);
        connections.put(connection.number, connection);
        return connection;
    }

    /** The connection that the placer believes a machine to have, broken or not. */
    Optional<SimulatedConnection> connectionOf(String machine) {
        long number = placer.core().membership().connectionOf(machine);
        return Optional.ofNullable(connections.get(number));
    }

    void sendToPlacer(SimulatedConnection connection, Runnable onArrival) {
        connection.lastArrivalAtPlacer =
                Math.max(
                        connection.lastArrivalAtPlacer,
                        time.now() + time.between(0, MAX_LATENCY_MICROS));
        time.scheduleAt(
                connection.lastArrivalAtPlacer,
                placer.unlessKilled(
                        () -> {
                            if (time.now() < connection.endAtPlacer) {
                                onArrival.run();
                            }
                        }));
    }

    void sendToNode(SimulatedNode node, SimulatedConnection connection, Runnable onArrival) {
        connection.lastArrivalAtNode =
                Math.max(
                        connection.lastArrivalAtNode,
                        time.now() + time.between(0, MAX_LATENCY_MICROS));
        time.scheduleAt(
                connection.lastArrivalAtNode,
                node.unlessRestarted(
                        () -> {
                            if (node.isConnectedBy(connection)
                                    && time.now() < connection.endAtNode) {
                                onArrival.run();
                            }
                        }));
    }

    /**
     * Breaks a connection: what is in transit arrives until some moment, and each side notices the
     * end by itself.
     *
     * @param placerNotices false if the placer was killed
     */
    void breakConnection(
            SimulatedNode node, SimulatedConnection connection, boolean placerNotices) {
        connection.open = false;
        connection.endAtNode = time.now() + time.between(0, MAX_TRANSIT_AFTER_BREAK_MICROS);
        connection.endAtPlacer = time.now() + time.between(0, MAX_TRANSIT_AFTER_BREAK_MICROS);
        if (placerNotices) {
            time.scheduleAt(
                    connection.endAtPlacer + time.between(0, MAX_DETECTION_MICROS),
                    placer.unlessKilled(() -> placer.core().connectionClosed(connection.number)));
        }
        time.scheduleAt(
                connection.endAtNode,
                () -> {
                    if (node.isConnectedBy(connection)) {
                        node.disconnected();
                        time.scheduleIn(time.between(0, MAX_RECONNECT_DELAY_MICROS), node::connect);
                    }
                });
    }
}
