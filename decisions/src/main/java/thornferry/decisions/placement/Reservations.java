package thornferry.decisions.placement;

/** Accounts for the own tasks on each machine, from the offer to the end of the attempt. */
final class Reservations {
    private final EventContext context;
    private final ServiceAffinity affinity;
    private final TaskUsageEstimator usage;

    Reservations(EventContext context, ServiceAffinity affinity, TaskUsageEstimator usage) {
        this.context = context;
        this.affinity = affinity;
        this.usage = usage;
    }

    /** The task is offered to its machine. */
    void reserve(TrackedTask task) {
        TrackedMachine machine = task.machine();
        machine.load().addPendingStart(task.startWeight());
        affinity.addTask(machine, task.service());
        machine.load().recordOwnChange(context.nowMicros(), task.requested(), 1);
    }

    /** The task was running before this placer knew of it, so that load samples include it. */
    void adopt(TrackedTask task) {
        affinity.addTask(task.machine(), task.service());
    }

    /** The task has started on its machine. */
    void markStarted(TrackedTask task) {
        task.machine().load().removePendingStart(task.startWeight());
        task.setStartWeight(0);
    }

    /** The attempt has ended; {@code ran} where the machine had accepted it. */
    void release(TrackedTask task, boolean ran) {
        TrackedMachine machine = task.machine();
        markStarted(task);
        affinity.removeTask(machine, task.service(), ran);
        machine.load().recordOwnChange(context.nowMicros(), task.requested(), -1);
        if (ran) {
            machine.raiseRejectedSize(task.requested());
        }
        usage.forget(task);
    }
}
