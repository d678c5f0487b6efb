package thornferry.decisions.diagnosis;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the tasks to evaluate again in one tick: all that an event concerned, and a batch of the
 * other waiting tasks, since the cluster and the queue may change their reasons without such an
 * event.
 *
 * <p>Batches sweep over the waiting tasks in turn. A sweep takes about {@link #TICKS_PER_SWEEP}
 * ticks for up to 1,800 tasks, and longer for more, as the batch is bounded.
 */
final class ReevaluationSchedule {
    private static final int MIN_BATCH = 4;
    private static final int MAX_BATCH = 200;
    private static final int TICKS_PER_SWEEP = 9;

    private final Set<TaskRecord> changed = new LinkedHashSet<>();
    private final ArrayDeque<TaskRecord> sweep = new ArrayDeque<>();

    /** An event concerned the task. */
    void markChanged(TaskRecord task) {
        changed.add(task);
    }

    /** Removes and returns the tasks marked since the last call, in the order of their marking. */
    List<TaskRecord> takeChanged() {
        List<TaskRecord> taken = new ArrayList<>(changed);
        changed.clear();
        return taken;
    }

    /**
     * Removes and returns the next batch of the sweep. It may contain tasks that have stopped
     * waiting since the sweep began.
     */
    List<TaskRecord> takeSweepBatch(Collection<TaskRecord> waiting) {
        if (sweep.isEmpty()) {
            sweep.addAll(waiting);
        }
        int batchSize = Math.min(MAX_BATCH, MIN_BATCH + waiting.size() / TICKS_PER_SWEEP);
        List<TaskRecord> batch = new ArrayList<>();
        while (batch.size() < batchSize && !sweep.isEmpty()) {
            batch.add(sweep.poll());
        }
        return batch;
    }
}
