package thornferry.decisions.diagnosis;

import java.util.ArrayDeque;
import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons.Change;

/**
 * Bounded history of a task's changes. The first change, which shows when the task began to wait,
 * and the latest changes are retained.
 */
final class ChangeHistory {
    private static final int INITIAL_CAPACITY = 2;

    private final int maxChanges;
    private final ArrayDeque<Change> changes = new ArrayDeque<>(INITIAL_CAPACITY);

    /**
     * Creates an empty history.
     *
     * @param maxChanges number of changes retained; at least 2
     */
    ChangeHistory(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    void add(Change change) {
        changes.add(change);
        if (changes.size() > maxChanges) {
            Change first = changes.removeFirst();
            changes.removeFirst();
            changes.addFirst(first);
        }
    }

    List<Change> toList() {
        return List.copyOf(changes);
    }
}
