package thornferry.placer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.placement.Placement;

/** The configured task classes, with the properties that admission and adoption need. */
final class TaskClasses {
    private static final double DEFAULT_PRIORITY_WEIGHT = 0;

    private final Map<String, Placement.TaskClass> classesByName = new HashMap<>();

    TaskClasses(List<Placement.TaskClass> classes) {
        classes.forEach(taskClass -> classesByName.put(taskClass.name(), taskClass));
    }

    /** Returns the idempotency of a class; the strictest one for a class that is not configured. */
    Placement.Idempotency idempotency(String name) {
        Placement.TaskClass taskClass = classesByName.get(name);
        return taskClass == null ? Placement.Idempotency.NON_IDEMPOTENT : taskClass.idempotency();
    }

    /** Returns the entry of the admission queue for a request. */
    QueuedRequest queuedRequest(
            Placement.PlacementRequest request,
            String owner,
            long deadlineMicros,
            String rejectedBy) {
        return new QueuedRequest(
                request.id(),
                owner,
                request.tenant(),
                request.taskClass(),
                priorityWeight(request.taskClass()),
                request.cores(),
                request.memory(),
                deadlineMicros,
                request.expectedRunMicros(),
                request.retry(),
                rejectedBy);
    }

    private double priorityWeight(String name) {
        Placement.TaskClass taskClass = classesByName.get(name);
        return taskClass == null ? DEFAULT_PRIORITY_WEIGHT : taskClass.priorityWeight();
    }
}
