package thornferry.decisions.diagnosis;

import java.util.Map;
import thornferry.decisions.membership.MachineStatus;

/** Decides whether a machine could run a request at all, regardless of its load and state. */
final class MachineMatcher {
    private final Map<String, String> requiredKindByClass;

    /** {@code requiredKindByClass} has no entry for a task class that runs on any kind. */
    MachineMatcher(Map<String, String> requiredKindByClass) {
        this.requiredKindByClass = Map.copyOf(requiredKindByClass);
    }

    boolean hasRequiredKind(MachineStatus machine, RequestShape shape) {
        String required = requiredKindByClass.getOrDefault(shape.taskClass(), "");
        return required.isEmpty() || required.equals(machine.kind());
    }

    boolean isLargeEnough(MachineStatus machine, RequestShape shape) {
        return shape.cores() <= machine.cores() && shape.memory() <= machine.memory();
    }

    boolean couldRun(MachineStatus machine, RequestShape shape) {
        return isLargeEnough(machine, shape) && hasRequiredKind(machine, shape);
    }
}
