package thornferry.decisions.diagnosis;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import thornferry.decisions.diagnosis.PendingReasons.Limits;

/**
 * Store of all task records, indexed by task and by request. Records of ended tasks are evicted,
 * oldest first, when their retention time has passed or there are too many records.
 */
final class TaskRecordStore {
    private final Limits limits;
    private final Map<TaskKey, TaskRecord> recordByKey = new HashMap<>();
    private final Map<String, TaskRecord> recordByRequestId = new HashMap<>();
    private final Set<TaskRecord> waiting = new LinkedHashSet<>();
    private final Set<TaskRecord> ended = new LinkedHashSet<>();

    TaskRecordStore(Limits limits) {
        this.limits = limits;
    }

    Optional<TaskRecord> find(String owner, String taskName) {
        return Optional.ofNullable(recordByKey.get(new TaskKey(owner, taskName)));
    }

    Optional<TaskRecord> findByRequest(String requestId) {
        return Optional.ofNullable(recordByRequestId.get(requestId));
    }

    TaskRecord findOrCreate(long nowMicros, String owner, String taskName) {
        return recordByKey.computeIfAbsent(
                new TaskKey(owner, taskName),
                key -> new TaskRecord(key, nowMicros, limits.maxHistory()));
    }

    /** Adds a task that waits, for the first time or again. */
    void addWaiting(TaskRecord task) {
        ended.remove(task);
        waiting.add(task);
    }

    /** Removes a task from the waiting tasks and returns whether it was one of them. */
    boolean removeWaiting(TaskRecord task) {
        return waiting.remove(task);
    }

    /** Adds a task that has ended, whose record may be evicted. */
    void addEnded(long nowMicros, TaskRecord task) {
        task.setEndedAt(nowMicros);
        ended.remove(task);
        ended.add(task);
    }

    void addRequest(String requestId, TaskRecord task) {
        recordByRequestId.put(requestId, task);
    }

    void removeRequest(TaskRecord task) {
        task.requestId().ifPresent(recordByRequestId::remove);
    }

    /** Returns the waiting tasks in the order of their submission. */
    Collection<TaskRecord> waiting() {
        return Collections.unmodifiableSet(waiting);
    }

    /**
     * Evicts records of ended tasks whose retention time has passed, and further ones while there
     * are more than {@link Limits#maxRecords()} records.
     */
    void evict(long nowMicros) {
        while (!ended.isEmpty()) {
            TaskRecord oldest = ended.iterator().next();
            boolean retained = nowMicros - oldest.endedAtMicros() < limits.retentionMicros();
            if (retained && recordByKey.size() <= limits.maxRecords()) {
                return;
            }
            ended.remove(oldest);
            recordByKey.remove(oldest.key());
        }
    }
}
