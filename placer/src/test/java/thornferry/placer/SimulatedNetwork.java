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

    /** Returns the connection that the placer associates with a machine, which may be broken. */
    Optional<SimulatedConnection> connectionOf(String machine) {
        long number = placer.core().membership().connectionOf(machine);
        return Optional.ofNullable(connections.get(number));
    }

    void sendToPlacer(SimulatedConnection connection, Runnable onArrival) {
        connection.lastArrivalAtPlacerMicros =
                Math.max(
                        connection.lastArrivalAtPlacerMicros,
                        time.now() + time.randomBetween(0, MAX_LATENCY_MICROS));
        time.scheduleAt(
                connection.lastArrivalAtPlacerMicros,
                placer.unlessKilled(
                        () -> {
                            if (time.now() < connection.endAtPlacerMicros) {
                                onArrival.run();
                            }
                        }));
    }

    void sendToNode(SimulatedNode node, SimulatedConnection connection, Runnable onArrival) {
        connection.lastArrivalAtNodeMicros =
                Math.max(
                        connection.lastArrivalAtNodeMicros,
                        time.now() + time.randomBetween(0, MAX_LATENCY_MICROS));
        time.scheduleAt(
                connection.lastArrivalAtNodeMicros,
                node.unlessKilled(
                        () -> {
                            if (node.isConnectedVia(connection)
                                    && time.now() < connection.endAtNodeMicros) {
                                onArrival.run();
                            }
                        }));
    }

    /**
     * Breaks a connection. Frames in transit arrive until a random time in each direction, and each
     * side detects the end independently.
     *
     * @param placerDetects false if the placer was killed and so cannot detect the end
     */
    void breakConnection(
            SimulatedNode node, SimulatedConnection connection, boolean placerDetects) {
        connection.open = false;
        connection.endAtNodeMicros =
                time.now() + time.randomBetween(0, MAX_TRANSIT_AFTER_BREAK_MICROS);
        connection.endAtPlacerMicros =
                time.now() + time.randomBetween(0, MAX_TRANSIT_AFTER_BREAK_MICROS);
        if (placerDetects) {
            time.scheduleAt(
                    connection.endAtPlacerMicros + time.randomBetween(0, MAX_DETECTION_MICROS),
                    placer.unlessKilled(() -> placer.core().connectionClosed(connection.number)));
        }
        time.scheduleAt(
                connection.endAtNodeMicros,
                () -> {
                    if (node.isConnectedVia(connection)) {
                        node.disconnected();
                        time.scheduleIn(
                                time.randomBetween(0, MAX_RECONNECT_DELAY_MICROS), node::connect);
                    }
                });
    }
}
