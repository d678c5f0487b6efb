package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.FilterReason;

/**
 * Determines which ready machines are eligible for a task, and the reason why each other one is
 * filtered out.
 */
final class CandidateFilter {
    private final EventContext context;
    private final MachineTracker machines;
    private final OutlierEjection ejection;
    private final CapacityFilter capacity;
    private final SlowStartLimiter slowStart;
    private final ServiceAffinity affinity;

    CandidateFilter(
            EventContext context,
            MachineTracker machines,
            OutlierEjection ejection,
            CapacityFilter capacity,
            SlowStartLimiter slowStart,
            ServiceAffinity affinity) {
        this.context = context;
        this.machines = machines;
        this.ejection = ejection;
        this.capacity = capacity;
        this.slowStart = slowStart;
        this.affinity = affinity;
    }

    /**
     * Returns the ready machines that are eligible for the task, and the others counted by reason.
     */
    CandidateSummary filter(TrackedTask task) {
        boolean ignoreEjections = ejection.areMostMachinesEjected();
        CandidateSummary summary = new CandidateSummary(machines.readyMachines().size());
        for (TrackedMachine machine : machines.readyMachines()) {
            FilterReason reason = check(machine, task, ignoreEjections, summary);
            if (reason == null) {
                summary.addEligible(machine);
            } else {
                boolean tooSmall = capacity.isTooSmall(machine, task);
                summary.countFiltered(tooSmall ? FilterReason.MACHINE_TOO_SMALL : reason);
            }
        }
        return summary;
    }

    /**
     * Returns why the machine is filtered out for the task, or null if it is eligible. Cheap checks
     * come first.
     */
    private FilterReason check(
            TrackedMachine machine,
            TrackedTask task,
            boolean ignoreEjections,
            CandidateSummary summary) {
        FilterReason reason = checkHealth(machine, task, ignoreEjections);
        if (reason == null) {
            reason = checkPlacementConstraints(machine, task);
        }
        if (reason == null && machine.hasRecentlyRejected(task.requested())) {
            // Without this check the machine would be chosen again and again on the basis of a load
            // sample that is older than its rejection.
            reason = FilterReason.RECENTLY_REJECTED;
        }
        if (reason == null) {
            reason = capacity.check(machine, task, summary);
        }
        if (reason == null && !slowStart.allowsOffer(machine)) {
            reason = FilterReason.WARMING_UP;
        }
        if (reason == null && !affinity.isWithinSpreadLimit(machine, task)) {
            reason = FilterReason.SPREAD_LIMIT;
        }
        return reason;
    }

    private FilterReason checkHealth(
            TrackedMachine machine, TrackedTask task, boolean ignoreEjections) {
        MachineHealth health = machine.health();
        if (task.failedMachines().contains(machine)) {
            return FilterReason.PREVIOUS_ATTEMPT_FAILED;
        }
        if (!machine.isReady() || (!ignoreEjections && health.isEjected())) {
            return FilterReason.MACHINE_EJECTED;
        }
        FilterReason timedReason = health.timedExclusion(context.nowMicros());
        if (timedReason != null) {
            return timedReason;
        }
        return health.isEjectedForClass(task.taskClass().name(), context.nowMicros())
                ? FilterReason.CLASS_EJECTED
                : null;
    }

    private static FilterReason checkPlacementConstraints(
            TrackedMachine machine, TrackedTask task) {
        int requiredKind = task.taskClass().requiredKind();
        if (requiredKind >= 0 && requiredKind != machine.kind()) {
            return FilterReason.WRONG_KIND;
        }
        if (task.isRestrictedToKeyScope()
                && !machine.sharesScope(
                        task.taskClass().keyScope(), task.possibleRun().machine())) {
            return FilterReason.OUTSIDE_KEY_SCOPE;
        }
        return null;
    }
}
