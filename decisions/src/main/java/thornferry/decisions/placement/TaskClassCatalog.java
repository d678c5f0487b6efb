package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import thornferry.decisions.placement.Placement.TaskClass;

/** The task classes of the settings, and the limits that are derived from all of them. */
final class TaskClassCatalog {
    /**
     * The fraction of the contention range of the most sensitive class up to which a machine may be
     * filled. Beyond it requests wait.
     */
    private static final double ALLOWED_CONTENTION = 0.3;

    /** A lower bound that keeps divisions by the maximum priority weight finite. */
    private static final double MIN_PRIORITY_WEIGHT = 1e-9;

    private final Map<String, TaskClass> classesByName = new HashMap<>();
    private final TaskClass defaultClass;
    private final double maxCoreUtilization;
    private final double maxPriorityWeight;

    TaskClassCatalog(List<TaskClass> classes) {
        classes.forEach(taskClass -> classesByName.put(taskClass.name(), taskClass));
        defaultClass = classes.get(0);
        maxCoreUtilization =
                -max(
                        taskClass ->
                                -taskClass.contentionThreshold()
                                        - ALLOWED_CONTENTION * taskClass.contentionRange());
        maxPriorityWeight = Math.max(MIN_PRIORITY_WEIGHT, max(TaskClass::priorityWeight));
    }

    private double max(ToDoubleFunction<TaskClass> value) {
        return classesByName.values().stream().mapToDouble(value).max().orElseThrow();
    }

    /** Returns the class with this name, or the first class of the settings if there is none. */
    TaskClass find(String name) {
        return classesByName.getOrDefault(name, defaultClass);
    }

    /**
     * Returns the fraction of a machine's cores that may be in use before tasks slow each other
     * down too much.
     */
    double maxCoreUtilization() {
        return maxCoreUtilization;
    }

    double maxPriorityWeight() {
        return maxPriorityWeight;
    }
}
