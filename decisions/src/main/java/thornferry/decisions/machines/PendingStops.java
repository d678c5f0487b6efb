package thornferry.decisions.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The requests to stop a task that a machine has not confirmed. A request that was written to a
 * connection may be lost with it, so it is pending until the machine reports the end of the task,
 * and is sent again: at once on each new connection, and with exponential backoff while there is
 * none. A machine that has stopped the task ignores further requests.
 *
 * <p>This class performs no I/O and reads no clock; all times are microseconds.
 */
public final class PendingStops {
    /**
     * How long a request is retried. Connection attempts fail during a network partition, which may
     * last several seconds.
     */
    private static final long LIFETIME_MICROS = 8_000_000;

    /** The time between the first two requests for a task; it doubles with each further one. */
    private static final long FIRST_RETRY_MICROS = 1_000_000;

    /** The maximum number of pending requests to one machine. The oldest is dropped. */
    private static final int MAX_STOPS_PER_MACHINE = 256;

    /**
     * The maximum number of machines that are not listed and have pending requests. The requests of
     * the one that was added first are dropped: anyone can name machines that do not exist.
     */
    private static final int MAX_UNLISTED_MACHINES = 512;

    /** A request to stop one task. */
    private static final class Stop {
        private final long expiresAtMicros;
        private long nextSendMicros;
        private long retryDelayMicros = FIRST_RETRY_MICROS;

        private Stop(long nowMicros) {
            expiresAtMicros = nowMicros + LIFETIME_MICROS;
            nextSendMicros = nowMicros;
        }

        private void markSent(long nowMicros) {
            nextSendMicros = nowMicros + retryDelayMicros;
            retryDelayMicros *= 2;
        }
    }

    /** The requests by task id, the oldest first, by machine id. No machine has an empty map. */
    private final Map<String, Map<String, Stop>> stopsByMachine = new HashMap<>();

    /** The machines with requests that were not listed when the first one was added, in order. */
    private final Set<String> unlistedMachines = new LinkedHashSet<>();

    /**
     * Adds a request, which is due at once. A pending request for the same task starts again.
     *
     * @param listed whether the machine is listed
     */
    public void add(String machine, String taskId, boolean listed, long nowMicros) {
        if (!listed && !isPending(machine)) {
            unlistedMachines.add(machine);
        }
        if (unlistedMachines.size() > MAX_UNLISTED_MACHINES) {
            removeAll(unlistedMachines.iterator().next());
        }
        Map<String, Stop> stops =
                stopsByMachine.computeIfAbsent(machine, id -> new LinkedHashMap<>());
        stops.remove(taskId);
        stops.put(taskId, new Stop(nowMicros));
        if (stops.size() > MAX_STOPS_PER_MACHINE) {
            stops.remove(stops.keySet().iterator().next());
        }
    }

    /** Records that the request was written to a connection. */
    public void markSent(String machine, String taskId, long nowMicros) {
        Stop stop = stopsByMachine.getOrDefault(machine, Map.of()).get(taskId);
        if (stop != null) {
            stop.markSent(nowMicros);
        }
    }

    /**
     * Removes the request after the machine has confirmed it, or because the task is offered to the
     * machine again.
     *
     * @return whether there was a request
     */
    public boolean remove(String machine, String taskId) {
        Map<String, Stop> stops = stopsByMachine.get(machine);
        if (stops == null || stops.remove(taskId) == null) {
            return false;
        }
        if (stops.isEmpty()) {
            removeAll(machine);
        }
        return true;
    }

    /** Removes all requests to a machine whose tasks have ended. */
    public void removeAll(String machine) {
        stopsByMachine.remove(machine);
        unlistedMachines.remove(machine);
    }

    /** Drops the expired requests. */
    public void removeExpired(long nowMicros) {
        stopsByMachine
                .values()
                .forEach(
                        stops ->
                                stops.values().removeIf(stop -> stop.expiresAtMicros <= nowMicros));
        stopsByMachine.values().removeIf(Map::isEmpty);
        unlistedMachines.retainAll(stopsByMachine.keySet());
    }

    /** Returns whether there is a request to this machine. */
    public boolean isPending(String machine) {
        return stopsByMachine.containsKey(machine);
    }

    /** Returns whether a request to this machine is to be sent now. */
    public boolean isDue(String machine, long nowMicros) {
        return stopsByMachine.getOrDefault(machine, Map.of()).values().stream()
                .anyMatch(stop -> stop.nextSendMicros <= nowMicros);
    }

    /** Returns a copy of the ids of the tasks that the machine is to stop, the oldest first. */
    public List<String> tasks(String machine) {
        return new ArrayList<>(stopsByMachine.getOrDefault(machine, Map.of()).keySet());
    }
}
