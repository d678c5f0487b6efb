package thornferry.decisions.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import thornferry.decisions.placement.Placement.TaskClass;

/** The task classes of the settings, and the limits that follow from all of them together. */
final class TaskClassCatalog {
    /**
     * How far into the contention range of the most sensitive class a machine may be filled; beyond
     * it requests wait instead.
     */
    private static final double ALLOWED_CONTENTION = 0.3;

    /** Keeps divisions by the maximum priority weight finite. */
    private static final double MIN_PRIORITY_WEIGHT = 1e-9;

    private final Map<String, TaskClass> classesByName = new HashMap<>();
    private final TaskClass defaultClass;
    private final double maxCoreUtilization;
    private final double maxPriorityWeight;

    TaskClassCatalog(List<TaskClass> classes) {
        classes.forEach(taskClass -> classesByName.put(taskClass.name(), taskClass));
        defaultClass = classes.get(0);
        maxCoreUtilization =
                -max(c -> -c.contentionThreshold() - ALLOWED_CONTENTION * c.contentionRange());
        maxPriorityWeight = Math.max(MIN_PRIORITY_WEIGHT, max(TaskClass::priorityWeight));
    }

    private double max(ToDoubleFunction<TaskClass> value) {
        return classesByName.values().stream().mapToDouble(value).max().orElseThrow();
    }

    /** The class of this name; the first of the settings if there is none. */
    TaskClass find(String name) {
        return classesByName.getOrDefault(name, defaultClass);
    }

    /** The part of a machine's cores that may be in use before tasks slow each other down. */
    double maxCoreUtilization() {
        return maxCoreUtilization;
    }

    double maxPriorityWeight() {
        return maxPriorityWeight;
    }
}
