package thornferry.placer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;

/**
 * The health checks that machines have not answered yet, at most one per machine. Each check that
 * the policy requests ends with one {@link Placement.HealthCheckCompleted}, unless a newer check
 * replaces it.
 */
final class HealthChecks {
    private static final long TIMEOUT_MICROS = 2_000_000;

    private record PendingHealthCheck(long number, long sentAtMicros) {}

    private final PlacerComponents components;
    private final Map<String, PendingHealthCheck> pendingByMachine = new LinkedHashMap<>();
    private long lastNumber;

    HealthChecks(PlacerComponents components) {
        this.components = components;
    }

    /** Sends a health check to a machine. */
    void send(String machine) {
        long number = ++lastNumber;
        pendingByMachine.put(machine, new PendingHealthCheck(number, components.clock().now()));
        if (!components.output.checkHealth(machine, number)) {
            // deferred, since the policy must not receive the event within its own call
            components.instance.loop().execute(() -> fail(machine));
        }
    }

    /** Completes the pending check of a machine; ignores an answer with another number. */
    void answered(String machine, long number, LoadReport load) {
        PendingHealthCheck check = pendingByMachine.get(machine);
        if (check == null || check.number() != number) {
            return;
        }
        pendingByMachine.remove(machine);
        components.cluster.recordLoadReport(machine, load.freeCores(), load.freeMemory());
        complete(machine, check, components.clock().now(), load);
    }

    /**
     * Fails the pending check of a machine, if there is one, since no answer can arrive any more.
     */
    void fail(String machine) {
        PendingHealthCheck check = pendingByMachine.remove(machine);
        if (check != null) {
            complete(machine, check, components.clock().now(), null);
        }
    }

    /** Fails the checks that have not been answered within the timeout. */
    void expire(long nowMicros) {
        Iterator<Map.Entry<String, PendingHealthCheck>> entries =
                pendingByMachine.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, PendingHealthCheck> entry = entries.next();
            if (entry.getValue().sentAtMicros() < nowMicros - TIMEOUT_MICROS) {
                complete(entry.getKey(), entry.getValue(), nowMicros, null);
                entries.remove();
            }
        }
    }

    /**
     * Reports the result of a check to the policy.
     *
     * @param load the load of the machine, or null if the check failed
     */
    private void complete(
            String machine, PendingHealthCheck check, long nowMicros, LoadReport load) {
        components.policy.accept(
                new Placement.HealthCheckCompleted(
                        machine, load != null, nowMicros - check.sentAtMicros(), load));
    }
}
