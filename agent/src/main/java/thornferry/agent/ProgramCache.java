package thornferry.agent;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The programs (service images) present on a node, least recently started first. A program in use
 * is never evicted, so the cache may exceed its size.
 */
final class ProgramCache {
    private final int maxPrograms;
    private final Map<String, Integer> taskCountByService = new LinkedHashMap<>();

    ProgramCache(int maxPrograms) {
        this.maxPrograms = maxPrograms;
    }

    /** Counts a task of the service; true if its program was already present. */
    boolean acquire(String service) {
        Integer taskCount = taskCountByService.remove(service);
        taskCountByService.put(service, taskCount == null ? 1 : taskCount + 1);
        if (taskCountByService.size() > maxPrograms) {
            evictUnused();
        }
        return taskCount != null;
    }

    /** A task of the service has left the node. */
    void release(String service) {
        taskCountByService.computeIfPresent(service, (name, count) -> Math.max(0, count - 1));
    }

    private void evictUnused() {
        taskCountByService.entrySet().stream()
                .filter(entry -> entry.getValue() == 0)
                .map(Map.Entry::getKey)
                .findFirst()
                .ifPresent(taskCountByService::remove);
    }
}
