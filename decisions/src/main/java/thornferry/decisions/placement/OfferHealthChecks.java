package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.TrackedTask.HealthCheckRound;

/**
 * Health checks of a few machines just before an offer. They are sent if placers outnumber machines
 * and load reports come with health checks alone, so that load samples are old.
 *
 * <p>If the endpoint list shows no free capacity, the first offer waits for checks of the preferred
 * machines. If it does, each offer after a failed attempt waits for checks of the machines with the
 * best scores.
 */
final class OfferHealthChecks {
    private static final int MAX_MACHINES = 3;

    /** How long an offer waits for the results of the checks. */
    private static final long MAX_WAIT_MICROS = 80 * Micros.MILLISECOND;

    /** The age below which a load report is fresh enough, so that the machine is not checked. */
    private static final long MAX_FRESH_AGE_MICROS = 400 * Micros.MILLISECOND;

    private final Settings settings;
    private final EventContext context;
    private final MachineTracker machines;
    private final HealthChecker healthChecker;

    OfferHealthChecks(
            Settings settings,
            EventContext context,
            MachineTracker machines,
            HealthChecker healthChecker) {
        this.settings = settings;
        this.context = context;
        this.machines = machines;
        this.healthChecker = healthChecker;
    }

    /**
     * Starts the health checks for the next attempt, or applies their results to the ranking.
     *
     * @param ranked the sampled machines, best first. For an attempt after a failed one, the list
     *     is reduced to the machines whose checks have completed, once there are any
     * @return whether the offer must wait for results
     */
    boolean mustWait(TrackedTask task, List<TrackedMachine> ranked) {
        boolean firstAttempt = task.attempts() == 0;
        if (!machines.isOutnumberedByPlacers()
                || settings.loadReportMode() != LoadReportMode.ON_HEALTH_CHECK
                || firstAttempt == settings.listShowsFreeCapacity()) {
            return false;
        }
        List<TrackedMachine> candidates = firstAttempt ? task.preferredMachines() : ranked;
        if (task.healthCheckRound().attempt() != task.attempts() && !candidates.isEmpty()) {
            start(task, candidates);
        } else if (!firstAttempt) {
            retainChecked(task.healthCheckRound(), ranked);
        }
        HealthCheckRound round = task.healthCheckRound();
        return context.nowMicros() < round.untilMicros()
                && round.machines().stream().anyMatch(TrackedMachine::isHealthCheckInFlight);
    }

    private void start(TrackedTask task, List<TrackedMachine> candidates) {
        List<TrackedMachine> checkedMachines =
                new ArrayList<>(candidates.subList(0, Math.min(MAX_MACHINES, candidates.size())));
        task.setHealthCheckRound(
                new HealthCheckRound(
                        task.attempts(), context.nowMicros() + MAX_WAIT_MICROS, checkedMachines));
        long staleBeforeMicros =
                context.nowMicros() - MachineTracker.REPORT_LAG_MICROS - MAX_FRESH_AGE_MICROS;
        for (TrackedMachine machine : checkedMachines) {
            if (machine.load().latestSampleMicros() < staleBeforeMicros) {
                healthChecker.check(machine);
            }
        }
    }

    private static void retainChecked(HealthCheckRound round, List<TrackedMachine> ranked) {
        boolean anyCompleted =
                round.machines().stream()
                        .anyMatch(
                                machine ->
                                        !machine.isHealthCheckInFlight()
                                                && ranked.contains(machine));
        if (anyCompleted) {
            ranked.removeIf(
                    machine ->
                            machine.isHealthCheckInFlight() || !round.machines().contains(machine));
        }
    }
}
