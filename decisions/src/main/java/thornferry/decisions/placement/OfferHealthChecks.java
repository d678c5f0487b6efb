package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.TrackedTask.HealthCheckRound;

/**
 * Health checks of a few machines just before an offer, where placers are many and machines report
 * their load on health checks alone, so that samples are old.
 *
 * <p>Where the endpoint list shows no free capacity, the first offer waits for the preferred
 * machines; where it does, an offer after a failed one waits for the best few machines.
 */
final class OfferHealthChecks {
    private static final int MACHINES = 3;

    /** How long an offer waits for the results. */
    private static final long WAIT_MICROS = 80 * Micros.MILLISECOND;

    /** A machine whose last report is less old than this is not checked. */
    private static final long FRESH_MICROS = 400 * Micros.MILLISECOND;

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
     * Starts the checks for the next attempt, or takes their results into account.
     *
     * @param ranked the sampled machines, best first; for an attempt after a failed one, reduced to
     *     those whose checks have completed as soon as there are any
     * @return whether the offer has to wait
     */
    boolean mustWait(TrackedTask task, List<TrackedMachine> ranked) {
        boolean firstAttempt = task.attempts() == 0;
        if (!machines.outnumberedByPlacers()
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
        List<TrackedMachine> chosen =
                new ArrayList<>(candidates.subList(0, Math.min(MACHINES, candidates.size())));
        task.setHealthCheckRound(
                new HealthCheckRound(task.attempts(), context.nowMicros() + WAIT_MICROS, chosen));
        long staleBeforeMicros =
                context.nowMicros() - MachineTracker.REPORT_LAG_MICROS - FRESH_MICROS;
        for (TrackedMachine machine : chosen) {
            if (machine.load().uncoveredSinceMicros() < staleBeforeMicros) {
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
