package thornferry.decisions.machines;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which process a connection leads to, after the endpoint list has told of a new process at
 * its address: another machine at the address of one that has gone, or a restart of the same
 * machine. The list tells late, so that a connection may lead to either process, and the start time
 * in the list is that of another clock.
 *
 * <p>A new process can only listen at an address once the former one has ended. Each connection
 * from before the update is therefore sent a health check. An answer proves that the connection
 * leads to the new process. A connection that closes or does not answer in time proves nothing, and
 * counts as one to the former process.
 *
 * <p>This class performs no I/O and reads no clock; all times are microseconds.
 */
public final class ProcessVerification {
    /**
     * A connection whose process is not known yet.
     *
     * @param connection the number of the connection
     * @param healthCheckId the id of the health check that was sent on it
     * @param machine the machine to which the connection was opened
     * @param successor the machine that now has the address; the same one after a restart
     * @param deadlineMicros when the health check must be answered
     */
    public record Check(
            long connection,
            String healthCheckId,
            String machine,
            String successor,
            long deadlineMicros) {}

    private final Map<Long, Check> pendingChecks = new LinkedHashMap<>(); // by connection

    /** Adds a check, in place of an earlier one of the same connection. */
    public void begin(Check check) {
        pendingChecks.put(check.connection(), check);
    }

    /** Returns whether it is not known yet whether the connection leads to this machine. */
    public boolean isPendingFor(long connection, String successor) {
        Check check = pendingChecks.get(connection);
        return check != null && check.successor().equals(successor);
    }

    /**
     * Handles the answer to a health check.
     *
     * @return the check that the answer completes: the connection leads to the new process; empty
     *     if the answer belongs to no check
     */
    public Optional<Check> answered(long connection, String healthCheckId) {
        Check check = pendingChecks.get(connection);
        if (check == null || !check.healthCheckId().equals(healthCheckId)) {
            return Optional.empty();
        }
        return Optional.of(pendingChecks.remove(connection));
    }

    /**
     * Handles the close of a connection.
     *
     * @return the check that has failed, or empty if there was none
     */
    public Optional<Check> closed(long connection) {
        return Optional.ofNullable(pendingChecks.remove(connection));
    }

    /** Returns the connections whose health check was not answered in time. */
    public Set<Long> overdue(long nowMicros) {
        Set<Long> connections = new LinkedHashSet<>();
        for (Check check : pendingChecks.values()) {
            if (check.deadlineMicros() <= nowMicros) {
                connections.add(check.connection());
            }
        }
        return connections;
    }
}
