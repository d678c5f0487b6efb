package thornferry.decisions.recovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskKey;

/** The tasks of the journal: what its records, read in order, say of each. Bounded. */
final class JournaledTasks {
    /**
     * So many tasks are looked at for a completed one to drop early. It suffices, as nearly all of
     * the oldest are completed.
     */
    private static final int MAX_EVICTION_CANDIDATES = 64;

    private final Recovery.Limits limits;
    private final Map<String, TaskState> tasks = new LinkedHashMap<>();

    /** Keys of tasks that expire, about in the order in which they do. */
    private final LinkedHashSet<String> expiring = new LinkedHashSet<>();

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
            // requested again after its end: what was before has no consequences any more
            task =
                    new TaskState(
                            offered.owner(),
                            offered.tenant(),
                            offered.spec(),
                            offered.idempotency());
            add(task);
        }
        task.offered(
                offered.attempt(),
                new OutstandingAttempt(
                        offered.machine(), offered.incarnation(), offered.atMicros()));
        task.expireAt(offered.atMicros() + limits.machineRetentionMicros());
    }

    private void applyNeverRan(JournalRecord.NeverRan neverRan) {
        TaskState task = find(neverRan.owner(), neverRan.task());
        if (task != null) {
            task.settleAttempt(neverRan.attempt());
            if (!task.hasOutstanding() && !task.isCompleted()) {
                remove(task);
            }
        }
    }

    private void applyCompleted(JournalRecord.Completed completed) {
        TaskState task =
                tasks.computeIfAbsent(
                        TaskKey.of(completed.owner(), completed.spec().id()),
                        key ->
                                new TaskState(
                                        completed.owner(),
                                        completed.tenant(),
                                        completed.spec(),
                                        completed.idempotency()));
        task.complete(completed);
        expiring.remove(task.key());
        if (completed.result() == RequestResult.PLACED) {
            task.expireAt(TaskState.NEVER);
        } else {
            task.expireAt(completed.atMicros() + limits.retentionMicros());
            expiring.add(task.key());
        }
    }

    private void applyFinished(JournalRecord.Finished finished) {
        TaskState task = find(finished.owner(), finished.task());
        if (task != null && task.isCompleted()) {
            task.finish(finished);
            task.expireAt(finished.atMicros() + limits.retentionMicros());
            expiring.add(task.key());
        }
    }

    /** The fewest records that say the same. */
    List<JournalRecord> snapshot() {
        List<JournalRecord> records = new ArrayList<>();
        tasks.values().forEach(task -> records.addAll(task.records()));
        return records;
    }

    // ---- tasks ----
    private void add(TaskState task) {
        tasks.put(task.key(), task);
        expiring.remove(task.key());
        expiring.add(task.key());
        if (tasks.size() > limits.maxTasks()) {
            expiring.stream()
                    .limit(MAX_EVICTION_CANDIDATES)
                    .map(tasks::get)
                    .filter(candidate -> candidate != null && candidate.isCompleted())
                    .findFirst()
                    .ifPresent(this::remove);
        }
    }

    void remove(TaskState task) {
        tasks.remove(task.key(), task);
        expiring.remove(task.key());
    }

    void removeExpired(long now) {
        while (!expiring.isEmpty()) {
            String key = expiring.iterator().next();
            TaskState oldest = tasks.get(key);
            if (oldest != null && !oldest.isExpired(now)) {
                break;
            }
            expiring.remove(key);
            tasks.remove(key);
        }
    }

    /** The task, or null where the journal does not say anything of it. */
    TaskState find(String owner, String task) {
        return tasks.get(TaskKey.of(owner, task));
    }

    TaskState find(String key) {
        return tasks.get(key);
    }

    /** A copy: tasks may be removed while a caller iterates over it. */
    List<TaskState> all() {
        return List.copyOf(tasks.values());
    }

    int size() {
        return tasks.size();
    }
}
