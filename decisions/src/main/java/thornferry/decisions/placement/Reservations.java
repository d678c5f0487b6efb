package thornferry.decisions.placement;

/** The accounting of own tasks on each machine, from the offer to the end of the attempt. */
final class Reservations {
    private final EventContext context;
    private final ServiceAffinity affinity;
    private final TaskUsageEstimator usage;

    Reservations(EventContext context, ServiceAffinity affinity, TaskUsageEstimator usage) {
        this.context = context;
        this.affinity = affinity;
        this.usage = usage;
    }

    /** Reserves capacity for a task that is offered to its machine. */
    void reserve(TrackedTask task) {
        TrackedMachine machine = task.machine();
        machine.load().addPendingStart(task.startWeight());
        affinity.addTask(machine, task.service());
        machine.load().recordOwnChange(context.nowMicros(), task.requested(), 1);
    }

    /**
     * Adds an adopted task. It needs no reservation, since it was running before and load samples
     * include it.
     */
    void adopt(TrackedTask task) {
        affinity.addTask(task.machine(), task.service());
    }

    /** Records that the task has started on its machine. */
    void markStarted(TrackedTask task) {
        task.machine().load().removePendingStart(task.startWeight());
        task.setStartWeight(0);
    }

    /**
     * Releases the capacity that was reserved for an attempt, since the attempt has ended.
     *
     * @param accepted whether the machine had accepted the attempt
     */
    void release(TrackedTask task, boolean accepted) {
        TrackedMachine machine = task.machine();
        markStarted(task);
        affinity.removeTask(machine, task.service(), accepted);
        machine.load().recordOwnChange(context.nowMicros(), task.requested(), -1);
        if (accepted) {
            machine.raiseRejectedSize(task.requested());
        }
        usage.remove(task);
    }
}
