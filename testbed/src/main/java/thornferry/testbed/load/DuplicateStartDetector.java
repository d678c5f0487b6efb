package thornferry.testbed.load;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Counts how often each non-idempotent task starts; used by several threads. */
final class DuplicateStartDetector {
    private final Map<String, String> taskByAttempt = new ConcurrentHashMap<>();
    private final Map<String, AtomicLong> startsByTask = new ConcurrentHashMap<>();

    /** A node was offered a non-idempotent task. */
    void offered(String attempt, String task) {
        taskByAttempt.put(attempt, task);
    }

    /** An attempt has started; ignored unless it is one of a non-idempotent task. */
    void started(String attempt) {
        String task = taskByAttempt.get(attempt);
        if (task != null) {
            startsByTask.computeIfAbsent(task, key -> new AtomicLong()).incrementAndGet();
        }
    }

    /** Number of tasks that have started more than once. */
    long duplicateCount() {
        return startsByTask.values().stream().filter(starts -> starts.get() > 1).count();
    }
}
