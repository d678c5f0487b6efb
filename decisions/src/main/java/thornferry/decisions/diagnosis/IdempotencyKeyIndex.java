package thornferry.decisions.diagnosis;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Index of placed tasks by idempotency key. A key is scoped to an owner and a task class. */
final class IdempotencyKeyIndex {
    private record ScopedKey(String owner, String taskClass, String idempotencyKey) {
        static ScopedKey of(TaskRecord task) {
            return new ScopedKey(task.owner(), task.taskClass(), task.idempotencyKey());
        }
    }

    private final Map<ScopedKey, String> taskNameByKey = new HashMap<>();

    /** Adds a placed task; does nothing if it is not idempotent with a key. */
    void add(TaskRecord task) {
        if (task.isIdempotentWithKey()) {
            taskNameByKey.put(ScopedKey.of(task), task.name());
        }
    }

    /** Removes a finished task, unless another task with the same key has been placed since. */
    void remove(TaskRecord task) {
        if (task.isIdempotentWithKey()) {
            taskNameByKey.remove(ScopedKey.of(task), task.name());
        }
    }

    /** Returns the name of the owner's placed task with the same key, if there is one. */
    Optional<String> findTaskWithSameKey(TaskRecord task) {
        return Optional.ofNullable(taskNameByKey.get(ScopedKey.of(task)));
    }
}
