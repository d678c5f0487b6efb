package thornferry.decisions.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskKey;

/**
 * The states of the tasks in the journal, built from its records in order. Their number is bounded.
 */
final class JournaledTasks {
    /**
     * The number of tasks that are searched for a completed one to drop early. The search nearly
     * always succeeds, as nearly all of the oldest tasks are completed.
     */
    private static final int MAX_EVICTION_CANDIDATES = 64;

    private final Recovery.Limits limits;
    private final Map<String, TaskState> tasksByKey = new LinkedHashMap<>();

    /** The keys of the tasks that expire, approximately in the order of their expiry. */
    private final LinkedHashSet<String> expiringKeys = new LinkedHashSet<>();

    JournaledTasks(Recovery.Limits limits) {
        this.limits = limits;
    }

    // ---- records ----
    void apply(JournalRecord journalRecord) {
        if (journalRecord instanceof JournalRecord.Offered offered) {
            applyOffered(offered);
        } else if (journalRecord instanceof JournalRecord.NeverRan neverRan) {
            applyNeverRan(neverRan);
        } else if (journalRecord instanceof JournalRecord.Completed completed) {
            applyCompleted(completed);
        } else if (journalRecord instanceof JournalRecord.Finished finished) {
            applyFinished(finished);
        }
    }

    private void applyOffered(JournalRecord.Offered offered) {
        TaskState task = find(offered.owner(), offered.spec().id());
        if (task == null || task.isCompleted()) {
            // the task is requested again after its end, so that its former state no longer matters
            task =
                    new TaskState(
                            offered.owner(),
                            offered.tenant(),
                            offered.spec(),
                            offered.idempotency());
            add(task);
        }
        task.recordOffer(
                offered.attempt(),
                new OutstandingAttempt(
                        offered.machine(), offered.incarnation(), offered.atMicros()));
        task.expireAt(offered.atMicros() + limits.machineRetentionMicros());
    }

    private void applyNeverRan(JournalRecord.NeverRan neverRan) {
        TaskState task = find(neverRan.owner(), neverRan.task());
        if (task != null) {
            task.settleAttempt(neverRan.attempt());
            if (!task.hasOutstandingAttempts() && !task.isCompleted()) {
                remove(task);
            }
        }
    }

    private void applyCompleted(JournalRecord.Completed completed) {
        TaskState task =
                tasksByKey.computeIfAbsent(
                        TaskKey.of(completed.owner(), completed.spec().id()),
                        key ->
                                new TaskState(
                                        completed.owner(),
                                        completed.tenant(),
                                        completed.spec(),
                                        completed.idempotency()));
        task.complete(completed);
        expiringKeys.remove(task.key());
        if (completed.result() == RequestResult.PLACED) {
            task.expireAt(TaskState.NO_EXPIRY);
        } else {
            task.expireAt(completed.atMicros() + limits.retentionMicros());
            expiringKeys.add(task.key());
        }
    }

    private void applyFinished(JournalRecord.Finished finished) {
        TaskState task = find(finished.owner(), finished.task());
        if (task != null && task.isCompleted()) {
            task.finish(finished);
            task.expireAt(finished.atMicros() + limits.retentionMicros());
            expiringKeys.add(task.key());
        }
    }

    /** Returns the fewest records from which the same states can be built. */
    List<JournalRecord> snapshot() {
        List<JournalRecord> records = new ArrayList<>();
        tasksByKey.values().forEach(task -> records.addAll(task.records()));
        return records;
    }

    // ---- tasks ----
    private void add(TaskState task) {
        tasksByKey.put(task.key(), task);
        expiringKeys.remove(task.key());
        expiringKeys.add(task.key());
        if (tasksByKey.size() > limits.maxTasks()) {
            expiringKeys.stream()
                    .limit(MAX_EVICTION_CANDIDATES)
                    .map(tasksByKey::get)
                    .filter(candidate -> candidate != null && candidate.isCompleted())
                    .findFirst()
                    .ifPresent(this::remove);
        }
    }

    void remove(TaskState task) {
        tasksByKey.remove(task.key(), task);
        expiringKeys.remove(task.key());
    }

    void removeExpired(long now) {
        while (!expiringKeys.isEmpty()) {
            String key = expiringKeys.iterator().next();
            TaskState oldest = tasksByKey.get(key);
            if (oldest != null && !oldest.isExpired(now)) {
                break;
            }
            expiringKeys.remove(key);
            tasksByKey.remove(key);
        }
    }

    /** Returns the task, or null if the journal has no record of it. */
    TaskState find(String owner, String task) {
        return tasksByKey.get(TaskKey.of(owner, task));
    }

    TaskState find(String key) {
        return tasksByKey.get(key);
    }

    /** Returns a copy, as tasks may be removed while a caller iterates over it. */
    List<TaskState> all() {
        return List.copyOf(tasksByKey.values());
    }

    int size() {
        return tasksByKey.size();
    }
}
