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
 * All task records, indexed by task and by request. Records of ended tasks are evicted, oldest
 * first, once their retention time has passed or there are too many records.
 */
final class TaskRecordStore {
    private final Limits limits;
    private final Map<TaskKey, TaskRecord> byKey = new HashMap<>();
    private final Map<String, TaskRecord> byRequest = new HashMap<>();
    private final Set<TaskRecord> waiting = new LinkedHashSet<>();
    private final Set<TaskRecord> ended = new LinkedHashSet<>();

    TaskRecordStore(Limits limits) {
        this.limits = limits;
    }

    Optional<TaskRecord> find(String owner, String task) {
        return Optional.ofNullable(byKey.get(new TaskKey(owner, task)));
    }

    Optional<TaskRecord> findByRequest(String requestId) {
        return Optional.ofNullable(byRequest.get(requestId));
    }

    TaskRecord findOrCreate(long nowMicros, String owner, String task) {
        return byKey.computeIfAbsent(
                new TaskKey(owner, task),
                key -> new TaskRecord(key, nowMicros, limits.maxHistory()));
    }

    /** The task waits, for the first time or again. */
    void addWaiting(TaskRecord task) {
        ended.remove(task);
        waiting.add(task);
    }

    /** Returns whether the task was waiting. */
    boolean removeWaiting(TaskRecord task) {
        return waiting.remove(task);
    }

    /** The task has ended: it may be evicted. */
    void addEnded(long nowMicros, TaskRecord task) {
        task.setEndedAt(nowMicros);
        ended.remove(task);
        ended.add(task);
    }

    void addRequest(String requestId, TaskRecord task) {
        byRequest.put(requestId, task);
    }

    void removeRequest(TaskRecord task) {
        task.requestId().ifPresent(byRequest::remove);
    }

    /** Waiting tasks in the order of their submission. */
    Collection<TaskRecord> waiting() {
        return Collections.unmodifiableSet(waiting);
    }

    /** Evicts ended tasks whose time has come. */
    void evict(long nowMicros) {
        while (!ended.isEmpty()) {
            TaskRecord oldest = ended.iterator().next();
            boolean retained = nowMicros - oldest.endedAtMicros() < limits.retentionMicros();
            if (retained && byKey.size() <= limits.maxRecords()) {
                return;
            }
            ended.remove(oldest);
            byKey.remove(oldest.key());
        }
    }
}
