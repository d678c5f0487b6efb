package thornferry.testbed.audit;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The tasks that placers know, in the order of their first requests. */
final class TracedTasks {
    private final Map<TaskKey, TracedTask> tasks = new LinkedHashMap<>();

    TracedTask findOrAdd(TaskKey key, TaskClass taskClass) {
        return tasks.computeIfAbsent(key, k -> new TracedTask(k, taskClass));
    }

    Optional<TracedTask> find(TaskKey key) {
        return Optional.ofNullable(tasks.get(key));
    }

    /** A killed placer forgets its tasks; clients must request them again. */
    void forgetPlacer(String placer) {
        tasks.values().removeIf(task -> task.placer().equals(placer));
    }

    Collection<TracedTask> all() {
        return tasks.values();
    }
}
