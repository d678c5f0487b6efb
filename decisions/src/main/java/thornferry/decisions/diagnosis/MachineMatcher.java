package thornferry.decisions.diagnosis;

import java.util.Map;
import thornferry.decisions.membership.MachineStatus;

/** Decides whether a machine could ever run a request, regardless of its current load and state. */
final class MachineMatcher {
    private final Map<String, String> requiredKindByClass;

    /**
     * Creates a matcher.
     *
     * @param requiredKindByClass required machine kind by task class; a class that runs on any kind
     *     has no entry
     */
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
