package thornferry.decisions.requests;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.TaskClass;

/**
 * Checks requests of clients against the limits of their fields and the configured task classes.
 */
final class RequestValidator {
    private static final int MAX_NAME_CHARACTERS = 128;

    /** The maximum of cores and of memory, each in its own unit; far more than any machine has. */
    private static final double MAX_RESOURCE_AMOUNT = 1e9;

    private final Map<String, TaskClass> classesByName = new HashMap<>();

    RequestValidator(List<TaskClass> classes) {
        classes.forEach(taskClass -> this.classesByName.put(taskClass.name(), taskClass));
    }

    /** Returns the class of a task, or null if it is not configured or no longer configured. */
    TaskClass classOf(TaskSpec spec) {
        return classesByName.get(spec.taskClass());
    }

    /**
     * Checks the request of a client and returns the class of the task.
     *
     * @throws InvalidRequestException if the request is invalid
     */
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
            String knownClasses =
                    String.join(", ", classesByName.keySet().stream().sorted().toList());
            throw new InvalidRequestException(
                    spec.taskClass().isEmpty()
                            ? RequestMessages.missingTaskClass(knownClasses)
                            : RequestMessages.unknownTaskClass(spec.taskClass(), knownClasses));
        }
        return taskClass;
    }

    private static boolean isName(String text) {
        return !text.isEmpty() && text.length() <= MAX_NAME_CHARACTERS;
    }

    /** Returns whether the amount is within the limits. NaN is not. */
    private static boolean isResourceAmount(double amount) {
        return amount > 0 && amount <= MAX_RESOURCE_AMOUNT;
    }

    private static void require(boolean condition, String message) throws InvalidRequestException {
        if (!condition) {
            throw new InvalidRequestException(message);
        }
    }
}
