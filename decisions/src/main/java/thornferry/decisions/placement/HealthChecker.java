package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Sends health checks: to ejected machines when their ejection ends, and, where machines report
 * their load and are not fewer than placers, to those not heard from for the longest time.
 */
final class HealthChecker {
    /** Bounds of the interval between two checks of one machine; longer where requests are few. */
    private static final long MIN_INTERVAL_MICROS = 700 * Micros.MILLISECOND;

    private static final long MAX_INTERVAL_MICROS = 2 * Micros.SECOND;
    private static final double CHECKS_PER_REQUEST = 2.0;
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /**
     * Where the endpoint list shows free capacity at no cost, checks may cost this part of the
     * value of a request.
     */
    private static final double COST_PER_REQUEST = 0.008;

    private final Settings settings;
    private final EventContext context;
    private final MachineTracker machines;
    private final OutlierEjection ejection;
    private final RequestRate requestRate;
    private double credit;

    HealthChecker(
            Settings settings,
            EventContext context,
            MachineTracker machines,
            OutlierEjection ejection,
            RequestRate requestRate) {
        this.settings = settings;
        this.context = context;
        this.machines = machines;
        this.ejection = ejection;
        this.requestRate = requestRate;
    }

    /** Sends the checks that are due, {@code passedMicros} after the last call. */
    void checkDueMachines(long passedMicros) {
        ejection.refreshAnyEjected();
        List<TrackedMachine> candidates = new ArrayList<>();
        for (TrackedMachine machine : machines.ready()) {
            if (machine.health().isHealthCheckDue(context.nowMicros())) {
                // An ejected machine proves itself by a health check, not at the cost of a task.
                check(machine);
            } else if (!machine.isHealthCheckInFlight() && !machine.health().isEjected()) {
                candidates.add(machine);
            }
        }
        if (settings.loadReportMode() != LoadReportMode.NONE
                && !candidates.isEmpty()
                && !machines.outnumberedByPlacers()) {
            checkLeastRecentlyHeard(candidates, passedMicros);
        }
    }

    /**
     * Spends the credit on the machines heard from least recently. Where responses carry reports,
     * these are the machines that sent none, whose samples would otherwise never change.
     */
    private void checkLeastRecentlyHeard(List<TrackedMachine> candidates, long passedMicros) {
        double intervalMicros = intervalMicros(candidates.size());
        credit =
                Math.min(
                        candidates.size(),
                        credit + passedMicros * candidates.size() / intervalMicros);
        candidates.sort(Comparator.comparingLong(machine -> machine.load().lastHeardMicros()));
        for (TrackedMachine machine : candidates) {
            long silentMicros = context.nowMicros() - machine.load().lastHeardMicros();
            if (credit < 1 || silentMicros < intervalMicros) {
                return;
            }
            credit--;
            check(machine);
        }
    }

    private double intervalMicros(int candidates) {
        double requestsPerSecond = Math.max(MIN_REQUESTS_PER_SECOND, requestRate.perSecond());
        double intervalByRequests =
                Micros.SECOND * candidates / (CHECKS_PER_REQUEST * requestsPerSecond);
        double costFactor =
                settings.listShowsFreeCapacity()
                        ? settings.costWeights().healthCheck()
                                * CHECKS_PER_REQUEST
                                / COST_PER_REQUEST
                        : 0;
        return Math.max(1, costFactor)
                * Math.max(MIN_INTERVAL_MICROS, Math.min(MAX_INTERVAL_MICROS, intervalByRequests));
    }

    /** Sends a check unless one is in flight or the settings allow none. */
    void check(TrackedMachine machine) {
        if (!machine.isHealthCheckInFlight() && settings.limits().healthChecks()) {
            machine.setHealthCheckInFlight(true);
            context.emit(new CheckHealth(machine.id()));
        }
    }

    /** Takes the result of a check; returns false if the machine is not known. */
    boolean complete(HealthCheckCompleted event) {
        TrackedMachine machine = machines.find(event.machine());
        if (machine == null) {
            return false;
        }
        machine.setHealthCheckInFlight(false);
        machine.load().markHeard(context.nowMicros());
        if (event.answered()) {
            machine.health().markAnswered(context.nowMicros());
            machines.recordReport(machine, event.report());
            if (machine.health().isHealthCheckDue(context.nowMicros())) {
                ejection.markHealthy(machine);
            }
        } else if (machine.health().isEjected()) {
            ejection.extend(machine);
        }
        return true;
    }
}
