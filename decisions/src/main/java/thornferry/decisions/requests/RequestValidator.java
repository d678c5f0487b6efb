package thornferry.decisions.requests;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.TaskClass;

/** Which requests are acceptable, given the configured task classes. */
final class RequestValidator {
    private static final int MAX_NAME_CHARACTERS = 128;

    /** Of cores and of memory, in their own units: far beyond any machine. */
    private static final double MAX_RESOURCE_AMOUNT = 1e9;

    private final Map<String, TaskClass> classes = new HashMap<>();

    RequestValidator(List<TaskClass> classes) {
        classes.forEach(taskClass -> this.classes.put(taskClass.name(), taskClass));
    }

    /** The class of a task, or null where it is not configured (any more). */
    TaskClass classOf(TaskSpec spec) {
        return classes.get(spec.taskClass());
    }

    /** Checks the request of a client and returns the class of the task. */
    TaskClass validate(TaskSpec spec) throws InvalidRequestException {
        require(isName(spec.id()), RequestMessages.INVALID_ID);
        TaskClass taskClass = requireClass(spec);
        require(
                isResourceAmount(spec.cores()) && isResourceAmount(spec.memory()),
                RequestMessages.INVALID_RESOURCES);
        require(
                isName(spec.service()) && spec.idempotencyKey().length() <= MAX_NAME_CHARACTERS,
                RequestMessages.INVALID_SERVICE_OR_KEY);
        require(
                taskClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                        || !spec.idempotencyKey().isEmpty(),
                RequestMessages.missingKey(taskClass.name()));
        require(
                (spec.maxWaitMicros() == null || spec.maxWaitMicros() >= 0)
                        && spec.expectedRunMicros() >= 0,
                RequestMessages.INVALID_DURATION);
        return taskClass;
    }

    private TaskClass requireClass(TaskSpec spec) throws InvalidRequestException {
        TaskClass taskClass = classOf(spec);
        if (taskClass == null) {
            String known = String.join(", ", classes.keySet().stream().sorted().toList());
            throw new InvalidRequestException(
                    spec.taskClass().isEmpty()
                            ? RequestMessages.missingTaskClass(known)
                            : RequestMessages.unknownTaskClass(spec.taskClass(), known));
        }
        return taskClass;
    }

    private static boolean isName(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_CHARACTERS;
    }

    /** False for NaN too. */
    private static boolean isResourceAmount(double amount) {
        return amount > 0 && amount <= MAX_RESOURCE_AMOUNT;
    }

    private static void require(boolean condition, String message) throws InvalidRequestException {
        if (!condition) {
            throw new InvalidRequestException(message);
        }
    }
}
