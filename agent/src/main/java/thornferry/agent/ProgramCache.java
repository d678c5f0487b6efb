package thornferry.agent;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The programs (service images) present on a node, least recently started first. A program in use
 * is never evicted, so the number of programs may exceed the size of the cache.
 */
final class ProgramCache {
    private final int maxPrograms;
    private final Map<String, Integer> taskCountByService = new LinkedHashMap<>();

    ProgramCache(int maxPrograms) {
        this.maxPrograms = maxPrograms;
    }

    /** Adds a task of a service; returns true if the program of the service was already present. */
    boolean acquire(String service) {
        Integer taskCount = taskCountByService.remove(service);
        taskCountByService.put(service, taskCount == null ? 1 : taskCount + 1);
        if (taskCountByService.size() > maxPrograms) {
            evictOldestUnused();
        }
        return taskCount != null;
    }

    /** Removes a task of a service; the program stays in the cache. */
    void release(String service) {
        taskCountByService.computeIfPresent(service, (name, count) -> Math.max(0, count - 1));
    }

    private void evictOldestUnused() {
        taskCountByService.entrySet().stream()
                .filter(entry -> entry.getValue() == 0)
                .map(Map.Entry::getKey)
                .findFirst()
                .ifPresent(taskCountByService::remove);
    }
}
