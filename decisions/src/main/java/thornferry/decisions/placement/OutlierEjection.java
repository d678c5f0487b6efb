package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Log;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.Settings;

/** Outlier ejection: excludes machines on which attempts fail, and readmits them. */
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

    /** Returns whether any machine was ejected at the last tick or has been since. */
    boolean isAnyEjected() {
        return anyEjected;
    }

    /** Recomputes the value of {@link #isAnyEjected}. */
    void refreshAnyEjected() {
        anyEjected = false;
        for (TrackedMachine machine : machines.readyMachines()) {
            anyEjected |= machine.health().isEjected();
        }
    }

    /**
     * Returns whether most ready machines are ejected. The cause is then more likely this placer's
     * own network than a fault of so many machines.
     */
    boolean areMostMachinesEjected() {
        if (!anyEjected) {
            return false;
        }
        int ejected = 0;
        for (TrackedMachine machine : machines.readyMachines()) {
            if (machine.health().isEjected()) {
                ejected++;
            }
        }
        return ejected * 2 > machines.readyMachines().size();
    }

    /**
     * Updates the health of the machine that has accepted the task, and of those where the task
     * ended in an error before.
     */
    void recordAcceptance(TrackedTask task) {
        markHealthy(task.machine());
        task.machine().health().recordSuccess();
        // A task that fails on every machine is itself at fault, so an error counts against a
        // machine only if another machine accepts the task afterwards.
        task.errorMachines().forEach(machine -> machine.health().recordError());
    }

    /** Updates the machine's health after the end of an accepted attempt. */
    void recordTermination(TrackedMachine machine, AttemptEnded event) {
        if (event.reason() == OutcomeReason.EVACUATED) {
            machine.health().excludeAsShuttingDown(context.nowMicros());
        } else if (event.outcome() == AttemptOutcome.LOST && event.reason() == OutcomeReason.NONE) {
            // The machine's process has most likely died. Offers to it would fail at once, which
            // would attract further offers. If the machine responds again it has restarted, which
            // the list shows only later.
            machine.health().markUnreachable();
            eject(machine, "the connection was lost while a task was running");
        }
    }

    /** Updates the machine's health after the end of an attempt that was not accepted. */
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
            case LOST -> eject(machine, "the connection was lost during an offer");
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
                // For a task with an idempotency key, the machine may have rejected it as a
                // duplicate only.
                if (task.taskClass().idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                        && task.taskClass().requiredKind() < 0) {
                    machine.health().excludeAsShuttingDown(nowMicros);
                }
            }
            // The cause is not a lack of capacity but a rate limit of the class or a cancelled
            // start.
            case NONE -> machine.health().ejectForClass(task.taskClass().name(), nowMicros);
            default -> {}
        }
    }

    /**
     * Ejects the machine after a timeout. A machine that has responded since the offer was sent is
     * ejected for the task's class alone, since neither other classes nor health checks show the
     * fault. If placers outnumber machines, this placer has too few attempts on the machine to know
     * whether other classes are served, so the machine is ejected for the class in any case.
     */
    private void recordTimeout(TrackedTask task) {
        MachineHealth health = task.machine().health();
        long sentAtMicros = task.sentAtMicros();
        if (context.nowMicros() - sentAtMicros < AttemptTimeoutEstimator.MIN_TIMEOUT_MICROS) {
            return;
        }
        boolean outnumbered = machines.isOutnumberedByPlacers();
        if (outnumbered || health.lastResponseMicros() > sentAtMicros) {
            health.ejectForClass(task.taskClass().name(), context.nowMicros());
        }
        if (!outnumbered || health.lastResponseMicros() < sentAtMicros) {
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

    /**
     * Extends the ejection of a machine whose health check has failed, until the next health check
     * is due.
     */
    void extendEjection(TrackedMachine machine) {
        long intervalMicros =
                machines.isOutnumberedByPlacers()
                        ? MachineHealth.MAX_EJECTION_MICROS / 2
                        : MachineHealth.MIN_EJECTION_MICROS / 2;
        machine.health().extendEjection(context.nowMicros() + intervalMicros);
    }

    /**
     * Records that the machine has responded. Slow start applies to a machine that was unreachable,
     * since it may have restarted without the list showing it yet.
     */
    void markHealthy(TrackedMachine machine) {
        long nowMicros = context.nowMicros();
        if (machine.health().isUnreachable()) {
            machine.extendSlowStart(nowMicros + settings.rules().slowStartMicros());
        }
        machine.health().markHealthy(nowMicros);
    }
}
