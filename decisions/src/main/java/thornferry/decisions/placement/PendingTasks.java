package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import thornferry.decisions.placement.Placement.Pending;

/** The tasks that wait because no machine may get an offer of them now. */
final class PendingTasks {
    /**
     * Where placers are many, tasks are retried this often while no event suggests that it would
     * help.
     */
    static final long RETRY_MICROS = 100 * Micros.MILLISECOND;

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
     * Adds a task and notifies why it is pending. That is repeated only when it changes, since
     * pending tasks are retried many times a second.
     */
    void add(TrackedTask task, CandidateSummary candidates) {
        tasks.add(task);
        Pending notification = candidates.toNotification(task);
        if (task.updateNotification(notification)) {
            context.emit(notification);
        }
    }

    /** An event has changed what is known, so that a retry may succeed. */
    void markStateChanged() {
        stateChanged = true;
    }

    /**
     * Hands each task that is due to {@code place}, by descending priority weight: all of them when
     * something has changed or enough time has passed, else those whose final answer is due.
     */
    void retry(Consumer<TrackedTask> place) {
        if (tasks.isEmpty()) {
            return;
        }
        long nowMicros = context.nowMicros();
        long intervalMicros = machines.outnumberedByPlacers() ? RETRY_MICROS : Policy.TICK_MICROS;
        boolean retryAll = stateChanged || nowMicros - lastRetryMicros >= intervalMicros;
        if (retryAll) {
            lastRetryMicros = nowMicros;
        }
        stateChanged = false;
        List<TrackedTask> waiting = new ArrayList<>(tasks);
        tasks.clear();
        waiting.sort(Comparator.comparingDouble(task -> -task.taskClass().priorityWeight()));
        for (TrackedTask task : waiting) {
            if (task.stage() != TrackedTask.Stage.WAITING) {
                continue;
            }
            if (retryAll || task.isAnswerDue(nowMicros)) {
                place.accept(task);
            } else {
                tasks.add(task);
            }
        }
    }
}
