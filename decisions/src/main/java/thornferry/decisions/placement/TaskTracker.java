package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.Map;

/** The tasks that are waiting, offered or running. */
final class TaskTracker {
    private final Map<String, TrackedTask> tasksByRequestId = new HashMap<>();

    boolean contains(String requestId) {
        return tasksByRequestId.containsKey(requestId);
    }

    void add(TrackedTask task) {
        tasksByRequestId.put(task.id(), task);
    }

    /** Returns the task of this request, or null if there is none. */
    TrackedTask find(String requestId) {
        return tasksByRequestId.get(requestId);
    }

    /** Returns the task if this is its latest attempt and has not ended, otherwise null. */
    TrackedTask findByAttempt(String requestId, int attempt) {
        TrackedTask task = tasksByRequestId.get(requestId);
        boolean current = task != null && task.hasActiveAttempt() && attempt == task.attempts() - 1;
        return current ? task : null;
    }

    void remove(String requestId) {
        tasksByRequestId.remove(requestId);
    }

    int size() {
        return tasksByRequestId.size();
    }
}
