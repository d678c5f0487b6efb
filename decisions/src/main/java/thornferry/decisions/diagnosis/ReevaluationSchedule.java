package thornferry.decisions.diagnosis;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the tasks to evaluate again in one tick: all tasks that an event concerned, and a batch
 * of the waiting tasks, because changes of the cluster and the queue can change a task's reason
 * without an event that concerns the task.
 *
 * <p>The batches together sweep over all waiting tasks. A sweep takes about {@link
 * #TICKS_PER_SWEEP} ticks for up to 1,800 tasks, and longer for more tasks, because the size of a
 * batch is bounded.
 */
final class ReevaluationSchedule {
    private static final int MIN_BATCH_SIZE = 4;
    private static final int MAX_BATCH_SIZE = 200;
    private static final int TICKS_PER_SWEEP = 9;

    private final Set<TaskRecord> changed = new LinkedHashSet<>();
    private final ArrayDeque<TaskRecord> remainingSweep = new ArrayDeque<>();

    /** Marks a task that an event concerned. */
    void markChanged(TaskRecord task) {
        changed.add(task);
    }

    /**
     * Removes and returns the tasks marked since the last call, in the order in which they were
     * marked.
     */
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
        if (remainingSweep.isEmpty()) {
            remainingSweep.addAll(waiting);
        }
        int batchSize = Math.min(MAX_BATCH_SIZE, MIN_BATCH_SIZE + waiting.size() / TICKS_PER_SWEEP);
        List<TaskRecord> batch = new ArrayList<>();
        while (batch.size() < batchSize && !remainingSweep.isEmpty()) {
            batch.add(remainingSweep.poll());
        }
        return batch;
    }
}
