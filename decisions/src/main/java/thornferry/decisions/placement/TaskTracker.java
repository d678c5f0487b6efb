package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.Map;

/** The tasks that wait, are offered or run. */
final class TaskTracker {
    private final Map<String, TrackedTask> tasks = new HashMap<>();

    boolean contains(String requestId) {
        return tasks.containsKey(requestId);
    }

    void add(TrackedTask task) {
        tasks.put(task.id(), task);
    }

    /** The task of this request, null if there is none. */
    TrackedTask find(String requestId) {
        return tasks.get(requestId);
    }

    /** The task if this is its latest attempt and has not ended, else null. */
    TrackedTask findByAttempt(String requestId, int attempt) {
        TrackedTask task = tasks.get(requestId);
        boolean current = task != null && task.hasAttempt() && attempt == task.attempts() - 1;
        return current ? task : null;
    }

    void remove(String requestId) {
        tasks.remove(requestId);
    }

    int size() {
        return tasks.size();
    }
}
