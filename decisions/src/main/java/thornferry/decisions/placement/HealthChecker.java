package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import thornferry.decisions.placement.Placement.CheckHealth;
import thornferry.decisions.placement.Placement.HealthCheckCompleted;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Sends health checks to ejected machines at the end of their ejection. If machines report their
 * load and are not outnumbered by placers, checks also go to the machines whose last contact is the
 * longest ago.
 */
final class HealthChecker {
    /**
     * The bounds of the interval between two checks of one machine. The interval is longer if
     * requests are few.
     */
    private static final long MIN_INTERVAL_MICROS = 700 * Micros.MILLISECOND;

    private static final long MAX_INTERVAL_MICROS = 2 * Micros.SECOND;
    private static final double CHECKS_PER_REQUEST = 2.0;
    private static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /**
     * The fraction of the value of a request that checks may cost, if the endpoint list already
     * shows the free capacity at no cost.
     */
    private static final double MAX_COST_PER_REQUEST = 0.008;

    private final Settings settings;
    private final EventContext context;
    private final MachineTracker machines;
    private final OutlierEjection ejection;
    private final RequestRate requestRate;
    private double checkBudget;

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

    /** Sends the health checks that are due, {@code elapsedMicros} after the last call. */
    void checkDueMachines(long elapsedMicros) {
        ejection.refreshAnyEjected();
        List<TrackedMachine> candidates = new ArrayList<>();
        for (TrackedMachine machine : machines.readyMachines()) {
            if (machine.health().isHealthCheckDue(context.nowMicros())) {
                // An ejected machine is readmitted by a health check rather than by risking a task
                // on it.
                check(machine);
            } else if (!machine.isHealthCheckInFlight() && !machine.health().isEjected()) {
                candidates.add(machine);
            }
        }
        if (settings.loadReportMode() != LoadReportMode.NONE
                && !candidates.isEmpty()
                && !machines.isOutnumberedByPlacers()) {
            checkLeastRecentlyContacted(candidates, elapsedMicros);
        }
    }

    /**
     * Spends the check budget on the machines with the least recent contact. If load reports come
     * with responses, these are the machines that get no offers, whose samples would otherwise
     * never change.
     */
    private void checkLeastRecentlyContacted(List<TrackedMachine> candidates, long elapsedMicros) {
        double intervalMicros = intervalMicros(candidates.size());
        checkBudget =
                Math.min(
                        candidates.size(),
                        checkBudget + elapsedMicros * candidates.size() / intervalMicros);
        candidates.sort(Comparator.comparingLong(machine -> machine.load().lastContactMicros()));
        for (TrackedMachine machine : candidates) {
            long sinceContactMicros = context.nowMicros() - machine.load().lastContactMicros();
            if (checkBudget < 1 || sinceContactMicros < intervalMicros) {
                return;
            }
            checkBudget--;
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
                                / MAX_COST_PER_REQUEST
                        : 0;
        return Math.max(1, costFactor)
                * Math.max(MIN_INTERVAL_MICROS, Math.min(MAX_INTERVAL_MICROS, intervalByRequests));
    }

    /** Sends a health check unless one is in flight or the settings disable health checks. */
    void check(TrackedMachine machine) {
        if (!machine.isHealthCheckInFlight() && settings.limits().healthChecks()) {
            machine.setHealthCheckInFlight(true);
            context.emit(new CheckHealth(machine.id()));
        }
    }

    /** Processes the result of a health check. Returns false if the machine is not known. */
    boolean complete(HealthCheckCompleted event) {
        TrackedMachine machine = machines.find(event.machine());
        if (machine == null) {
            return false;
        }
        machine.setHealthCheckInFlight(false);
        machine.load().recordContact(context.nowMicros());
        if (event.responded()) {
            machine.health().recordResponse(context.nowMicros());
            machines.recordReport(machine, event.report());
            if (machine.health().isHealthCheckDue(context.nowMicros())) {
                ejection.markHealthy(machine);
            }
        } else if (machine.health().isEjected()) {
            ejection.extendEjection(machine);
        }
        return true;
    }
}
