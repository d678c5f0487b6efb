package thornferry.decisions.diagnosis;

import java.util.ArrayDeque;
import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons.Change;

/**
 * Bounded history of a task's changes: the first, which shows when the task began to wait, and the
 * latest ones.
 */
final class ChangeHistory {
    private static final int INITIAL_CAPACITY = 2;

    private final int maxChanges;
    private final ArrayDeque<Change> changes = new ArrayDeque<>(INITIAL_CAPACITY);

    /** {@code maxChanges} is at least 2. */
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
