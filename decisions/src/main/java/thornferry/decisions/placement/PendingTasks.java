package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import thornferry.decisions.placement.Placement.Pending;

/** The tasks that wait because no machine is eligible for them at present. */
final class PendingTasks {
    /**
     * The interval of retries if placers outnumber machines and no event indicates that a retry may
     * succeed.
     */
    static final long RETRY_INTERVAL_MICROS = 100 * Micros.MILLISECOND;

    private final EventContext context;
    private final MachineTracker machines;
    private final List<TrackedTask> tasks = new ArrayList<>();
    private boolean stateChanged;
    private long lastRetryMicros;

    PendingTasks(EventContext context, MachineTracker machines) {
        this.context = context;
        this.machines = machines;
    }

    boolean isEmpty() {
        return tasks.isEmpty();
    }

    int size() {
        return tasks.size();
    }

    /**
     * Adds a task and emits a notification of why it is pending. The notification is emitted again
     * only when it changes, since pending tasks are retried many times per second.
     */
    void add(TrackedTask task, CandidateSummary candidates) {
        tasks.add(task);
        Pending notification = candidates.toNotification(task);
        if (task.updateNotification(notification)) {
            context.emit(notification);
        }
    }

    /** Records that an event has changed the state, so that a retry may succeed. */
    void markStateChanged() {
        stateChanged = true;
    }

    /**
     * Passes each task that is due to {@code place}, by descending priority weight. All tasks are
     * due when the state has changed or the retry interval has passed; otherwise only the tasks
     * whose result is due.
     */
    void retry(Consumer<TrackedTask> place) {
        if (tasks.isEmpty()) {
            return;
        }
        long nowMicros = context.nowMicros();
        long intervalMicros =
                machines.isOutnumberedByPlacers()
                        ? RETRY_INTERVAL_MICROS
                        : Policy.TICK_INTERVAL_MICROS;
        boolean retryAll = stateChanged || nowMicros - lastRetryMicros >= intervalMicros;
        if (retryAll) {
            lastRetryMicros = nowMicros;
        }
        stateChanged = false;
        List<TrackedTask> waitingTasks = new ArrayList<>(tasks);
        tasks.clear();
        waitingTasks.sort(Comparator.comparingDouble(task -> -task.taskClass().priorityWeight()));
        for (TrackedTask task : waitingTasks) {
            if (task.stage() != TrackedTask.Stage.WAITING) {
                continue;
            }
            if (retryAll || task.isResultDue(nowMicros)) {
                place.accept(task);
            } else {
                tasks.add(task);
            }
        }
    }
}
