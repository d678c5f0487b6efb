package thornferry.decisions.diagnosis;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Index of placed tasks by idempotency key. Keys are scoped to an owner and a task class. */
final class IdempotencyKeyIndex {
    private record ScopedKey(String owner, String taskClass, String idempotencyKey) {
        static ScopedKey of(TaskRecord task) {
            return new ScopedKey(task.owner(), task.taskClass(), task.idempotencyKey());
        }
    }

    private final Map<ScopedKey, String> taskByKey = new HashMap<>();

    /** Adds a placed task; does nothing if it is not idempotent with a key. */
    void add(TaskRecord task) {
        if (task.isIdempotentWithKey()) {
            taskByKey.put(ScopedKey.of(task), task.name());
        }
    }

    /** Removes a task that finished, unless another has been placed with its key since. */
    void remove(TaskRecord task) {
        if (task.isIdempotentWithKey()) {
            taskByKey.remove(ScopedKey.of(task), task.name());
        }
    }

    /** Name of the owner's placed task with the same key, if there is one. */
    Optional<String> taskWithSameKey(TaskRecord task) {
        return Optional.ofNullable(taskByKey.get(ScopedKey.of(task)));
    }
}
