package thornferry.decisions.diagnosis;

import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.membership.ClusterView;
import thornferry.decisions.membership.MachineStatus;
import thornferry.decisions.placement.Placement.MachineState;

/**
 * Machines that could run a request but are not listed as ready.
 *
 * @param draining names of the draining machines
 * @param disconnected names of the machines that have no connection or are quarantined
 * @param knownMachines number of all known machines, whether or not they could run the request
 */
record UnavailableMachines(List<String> draining, List<String> disconnected, int knownMachines) {
    static UnavailableMachines find(
            ClusterView cluster, MachineMatcher matcher, RequestShape shape) {
        List<MachineStatus> machines = cluster.allMachines();
        List<String> draining = new ArrayList<>();
        List<String> disconnected = new ArrayList<>();
        for (MachineStatus machine : machines) {
            if (!matcher.couldRun(machine, shape)) {
                continue;
            }
            if (machine.state() == MachineState.DRAINING) {
                draining.add(machine.name());
            } else if (machine.state() == MachineState.GONE) {
                disconnected.add(machine.name());
            }
        }
        return new UnavailableMachines(draining, disconnected, machines.size());
    }

    /** Returns the kind of reason if no ready machine could ever take the request. */
    Kind reasonKind() {
        if (!draining.isEmpty() && draining.size() >= disconnected.size()) {
            return Kind.DRAINING;
        }
        if (!disconnected.isEmpty()) {
            return Kind.MACHINES_EJECTED;
        }
        return knownMachines == 0 ? Kind.NO_MACHINES : Kind.UNSATISFIABLE;
    }
}
