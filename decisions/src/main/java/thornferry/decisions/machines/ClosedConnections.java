package thornferry.decisions.machines;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections that machines have closed or reset, until the endpoint list can have told why.
 *
 * <p>A machine's process may have ended with its connections, and another one may listen at its
 * address since. Usually the endpoint list tells of that a few seconds later. If the service is
 * silent then, tasks that were accepted on such a connection count as ended in time to notify their
 * clients, unless the machine has kept another connection open.
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

    /** The time after which the endpoint list tells of a process that has ended. */
    private static final long LIST_DELAY_MICROS = 5_000_000;

    /**
     * The tasks may have ended with the connection, and their clients must be notified within 8 s
     * of that.
     */
    private static final long MAX_AGE_MICROS = 7_000_000;

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

    /**
     * Handles an answer of the endpoint list service. It has told of the processes that ended with
     * connections which were closed long enough before.
     */
    public void endpointListAnswered(long nowMicros) {
        connections
                .values()
                .removeIf(closed -> nowMicros - closed.closedAtMicros() >= LIST_DELAY_MICROS);
    }

    /** Removes and returns the connections of which the list should have told by now. */
    public List<ClosedConnection> removeOverdue(long nowMicros) {
        List<ClosedConnection> overdue = new ArrayList<>();
        for (ClosedConnection closed : connections.values()) {
            if (nowMicros - closed.closedAtMicros() >= MAX_AGE_MICROS) {
                overdue.add(closed);
            }
        }
        overdue.forEach(closed -> connections.remove(closed.connection()));
        return overdue;
    }
}
