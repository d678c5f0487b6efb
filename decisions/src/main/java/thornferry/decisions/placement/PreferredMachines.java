package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import thornferry.decisions.placement.Placement.Settings;

/**
 * The machines on which all placers expect the program of a service. They are chosen by weighted
 * rendezvous hashing of service and machine, so that placers with the same endpoint list agree
 * without communication.
 *
 * <p>If placers are many, each of them places so few tasks of a service that its own tasks do not
 * show which machines have the program.
 */
final class PreferredMachines {
    /** The number of preferred machines of each service. */
    private static final int MACHINES_PER_SERVICE = 7;

    /** A lower bound that keeps the rank of a machine of unknown size finite. */
    private static final double MIN_CORES = 1e-9;

    private final Settings settings;
    private final MachineTracker machines;

    PreferredMachines(Settings settings, MachineTracker machines) {
        this.settings = settings;
        this.machines = machines;
    }

    /** Returns whether own tasks are too few to show which machines have a service's program. */
    boolean areNeeded() {
        return machines.isOutnumberedByPlacers() || settings.instanceCount() > MACHINES_PER_SERVICE;
    }

    /** Returns the ready machines that are preferred for the service, best first. */
    List<TrackedMachine> forService(String service) {
        List<TrackedMachine> ranked = new ArrayList<>(machines.readyMachines());
        long serviceSeed = (long) service.hashCode() << 32;
        ranked.forEach(machine -> machine.setRank(rank(serviceSeed, machine)));
        ranked.sort(Comparator.comparingDouble(TrackedMachine::rank));
        return new ArrayList<>(ranked.subList(0, Math.min(MACHINES_PER_SERVICE, ranked.size())));
    }

    private static double rank(long serviceSeed, TrackedMachine machine) {
        double uniform = new SplittableRandom(serviceSeed ^ machine.id().hashCode()).nextDouble();
        return -Math.log(1 - uniform) / (MIN_CORES + machine.load().size(Resource.CORES));
    }
}
