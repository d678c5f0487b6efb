package thornferry.placer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Records violations of the safety properties that a simulation checks. */
final class SafetyMonitor {
    private final List<String> violations = new ArrayList<>();
    private final Map<String, String> startedAttempts = new HashMap<>();

    void violated(String description) {
        violations.add(description);
    }

    List<String> violations() {
        return violations;
    }

    /** Records the start of a non-idempotent task, which must be the only start of the task. */
    void nonIdempotentTaskStarted(String task, String attempt) {
        String earlier = startedAttempts.put(task, attempt);
        if (earlier != null) {
            violated(task + " started twice: as " + earlier + " and as " + attempt);
        }
    }

    boolean hasStarted(String task) {
        return startedAttempts.containsKey(task);
    }

    /** Returns the last attempt of a non-idempotent task that started, or null if there is none. */
    String startedAttempt(String task) {
        return startedAttempts.get(task);
    }
}
