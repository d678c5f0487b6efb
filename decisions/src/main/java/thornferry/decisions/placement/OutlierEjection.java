package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Log;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Outlier ejection: judges machines by the outcomes of attempts, excludes those that fail, and
 * readmits them.
 */
final class OutlierEjection {
    private final Settings settings;
    private final EventContext context;
    private final MachineTracker machines;
    private boolean anyEjected;

    OutlierEjection(Settings settings, EventContext context, MachineTracker machines) {
        this.settings = settings;
        this.context = context;
        this.machines = machines;
    }

    /** Whether any machine was ejected, as of the last tick or since. */
    boolean isAnyEjected() {
        return anyEjected;
    }

    /** Brings {@link #isAnyEjected} up to date. */
    void refreshAnyEjected() {
        anyEjected = false;
        for (TrackedMachine machine : machines.ready()) {
            anyEjected |= machine.health().isEjected();
        }
    }

    /**
     * Whether most ready machines are ejected, which more likely shows a fault of this placer's own
     * network than one of so many machines.
     */
    boolean areMostMachinesEjected() {
        if (!anyEjected) {
            return false;
        }
        int ejected = 0;
        for (TrackedMachine machine : machines.ready()) {
            if (machine.health().isEjected()) {
                ejected++;
            }
        }
        return ejected * 2 > machines.ready().size();
    }

    /** A machine has accepted the task. */
    void recordAcceptance(TrackedTask task) {
        markHealthy(task.machine());
        task.machine().health().recordSuccess();
        // A task that fails everywhere is itself at fault: an error counts against a machine only
        // if another one then accepts the task.
        task.errorMachines().forEach(machine -> machine.health().recordError());
    }

    /** An attempt that was accepted has ended. */
    void recordEndOfRun(TrackedMachine machine, AttemptEnded event) {
        if (event.reason() == OutcomeReason.EVACUATED) {
            machine.health().excludeAsLeaving(context.nowMicros());
        } else if (event.outcome() == AttemptOutcome.LOST && event.reason() == OutcomeReason.NONE) {
            // The process has most likely died: it would break off offers at once and so attract
            // more of them. What answers there next has restarted, which the list shows late.
            machine.health().markUnreachable();
            eject(machine, "a running task was lost");
        }
    }

    /** An attempt that was not accepted has ended. */
    void recordFailedAttempt(TrackedTask task, AttemptEnded event) {
        TrackedMachine machine = task.machine();
        boolean rejected = event.outcome() == AttemptOutcome.REJECTED;
        if (rejected) {
            recordRejection(task, event.reason());
        }
        if (!rejected || event.reason() == OutcomeReason.UNAVAILABLE) {
            task.failedMachines().add(machine);
        }
        switch (event.outcome()) {
            case ERROR -> task.errorMachines().add(machine);
            case TIMED_OUT -> recordTimeout(task);
            case LOST -> eject(machine, "an answer broke off");
            case UNREACHABLE -> {
                machine.health().markUnreachable();
                eject(machine, "unreachable");
            }
            default -> {}
        }
    }

    private void recordRejection(TrackedTask task, OutcomeReason reason) {
        TrackedMachine machine = task.machine();
        long nowMicros = context.nowMicros();
        markHealthy(machine);
        switch (reason) {
            case INSUFFICIENT_CORES ->
                    machine.recordCapacityRejection(nowMicros, Resource.CORES, task.requested());
            case INSUFFICIENT_MEMORY ->
                    machine.recordCapacityRejection(nowMicros, Resource.MEMORY, task.requested());
            case QUEUE_FULL -> machine.health().excludeForFullQueue(nowMicros);
            case UNAVAILABLE -> {
                // For a task with an idempotency key, the machine may only have rejected a copy.
                if (task.taskClass().idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                        && task.taskClass().requiredKind() < 0) {
                    machine.health().excludeAsLeaving(nowMicros);
                }
            }
            // Not for lack of capacity: a rate limit of the class, or a start that was abandoned.
            case NONE -> machine.health().ejectForClass(task.taskClass().name(), nowMicros);
            default -> {}
        }
    }

    /**
     * A machine that leaves one class unanswered while it serves others is ejected for that class
     * alone, since neither other classes nor health checks show the fault; where placers are many,
     * this one sees too little of the machine to tell, and a time-out counts for the class as well.
     */
    private void recordTimeout(TrackedTask task) {
        MachineHealth health = task.machine().health();
        long sentAtMicros = task.sentAtMicros();
        if (context.nowMicros() - sentAtMicros < AttemptTimeoutEstimator.MIN_TIMEOUT_MICROS) {
            return;
        }
        boolean outnumbered = machines.outnumberedByPlacers();
        if (outnumbered || health.lastAnswerMicros() > sentAtMicros) {
            health.ejectForClass(task.taskClass().name(), context.nowMicros());
        }
        if (!outnumbered || health.lastAnswerMicros() < sentAtMicros) {
            eject(task.machine(), "an offer timed out");
        }
    }

    private void eject(TrackedMachine machine, String cause) {
        boolean healthChecks = settings.limits().healthChecks();
        if (machine.health().eject(context.nowMicros(), healthChecks)) {
            anyEjected = true;
            context.emit(new Log("machine " + machine.id() + " ejected: " + cause));
        }
    }

    /** A health check of an ejected machine has failed: the next one is due a little later. */
    void extend(TrackedMachine machine) {
        long intervalMicros =
                machines.outnumberedByPlacers()
                        ? MachineHealth.MAX_EJECTION_MICROS / 2
                        : MachineHealth.MIN_EJECTION_MICROS / 2;
        machine.health().extendEjection(context.nowMicros() + intervalMicros);
    }

    /**
     * The machine has answered. One that was unreachable may have restarted before the list shows
     * it, so that slow start applies.
     */
    void markHealthy(TrackedMachine machine) {
        long nowMicros = context.nowMicros();
        if (machine.health().isUnreachable()) {
            machine.extendSlowStart(nowMicros + settings.rules().slowStartMicros());
        }
        machine.health().markHealthy(nowMicros);
    }
}
