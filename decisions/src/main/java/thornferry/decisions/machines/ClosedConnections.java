package thornferry.decisions.machines;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections that machines have closed or reset while the endpoint list service was silent.
 *
 * <p>A machine's process may have ended with its connections, and another one may listen at its
 * address since. Usually the endpoint list tells of that. While it tells nothing, tasks that were
 * accepted on such a connection count as ended in time to notify their clients, unless the machine
 * has kept another connection open.
 *
 * <p>This class performs no I/O and reads no clock; all times are microseconds.
 */
public final class ClosedConnections {
    /**
     * A connection that its machine has closed.
     *
     * @param closedAtMicros when the close was read
     */
    public record ClosedConnection(long connection, String machine, long closedAtMicros) {}

    /**
     * The tasks may have ended with the connection, and their clients must be notified within 8 s
     * of that.
     */
    private static final long MAX_SILENCE_MICROS = 6_500_000;

    /** The maximum number of connections. The oldest is dropped. */
    private static final int MAX_CONNECTIONS = 4_096;

    private final Map<Long, ClosedConnection> connections = new LinkedHashMap<>(); // oldest first

    /** Records a connection that its machine has closed or reset. */
    public void add(ClosedConnection closed) {
        connections.put(closed.connection(), closed);
        if (connections.size() > MAX_CONNECTIONS) {
            connections.remove(connections.keySet().iterator().next());
        }
    }

    /** Handles an answer of the endpoint list service, which tells of ended processes itself. */
    public void endpointListAnswered() {
        connections.clear();
    }

    /**
     * Removes and returns the connections since whose close the service has been silent too long.
     */
    public List<ClosedConnection> removeOverdue(long nowMicros) {
        List<ClosedConnection> overdue = new ArrayList<>();
        for (ClosedConnection closed : connections.values()) {
            if (nowMicros - closed.closedAtMicros() >= MAX_SILENCE_MICROS) {
                overdue.add(closed);
            }
        }
        overdue.forEach(closed -> connections.remove(closed.connection()));
        return overdue;
    }
}
