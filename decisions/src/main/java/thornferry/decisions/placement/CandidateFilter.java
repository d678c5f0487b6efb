package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.FilterReason;

/** Decides which ready machines may get an offer of a task, and why the others may not. */
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

    /** Filters the ready machines for the task. */
    CandidateSummary filter(TrackedTask task) {
        boolean ignoreEjections = ejection.areMostMachinesEjected();
        CandidateSummary summary = new CandidateSummary(machines.ready().size());
        for (TrackedMachine machine : machines.ready()) {
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

    /** Why the machine gets no offer of the task, null where it may; cheap checks come first. */
    private FilterReason check(
            TrackedMachine machine,
            TrackedTask task,
            boolean ignoreEjections,
            CandidateSummary summary) {
        FilterReason reason = checkHealth(machine, task, ignoreEjections);
        if (reason == null) {
            reason = checkPlacementConstraints(machine, task);
        }
        if (reason == null && machine.recentlyRejected(task.requested())) {
            // Without this the task would be offered again and again by a sample that is older
            // than the rejection.
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
        FilterReason timed = health.timedExclusion(context.nowMicros());
        if (timed != null) {
            return timed;
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
        if (task.isBoundToKeyScope()
                && !machine.sharesScope(
                        task.taskClass().keyScope(), task.possibleRun().machine())) {
            return FilterReason.OUTSIDE_KEY_SCOPE;
        }
        return null;
    }
}
