package thornferry.decisions.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import thornferry.decisions.placement.Placement.Settings;

/**
 * The machines on which all placers expect the program of a service: weighted rendezvous hashing of
 * service and machine, so that placers with the same list agree without communication.
 *
 * <p>Where placers are many, each sees so few tasks of a service that its own tasks do not show
 * where the program is.
 */
final class PreferredMachines {
    /** Preferred machines of each service. */
    private static final int COUNT = 7;

    /** Keeps the rank of a machine of unknown size finite. */
    private static final double MIN_CORES = 1e-9;

    private final Settings settings;
    private final MachineTracker machines;

    PreferredMachines(Settings settings, MachineTracker machines) {
        this.settings = settings;
        this.machines = machines;
    }

    /** Whether own tasks are too few to show where a service's program is. */
    boolean areNeeded() {
        return machines.outnumberedByPlacers() || settings.instanceCount() > COUNT;
    }

    /** The ready machines that are preferred for the service, best first. */
    List<TrackedMachine> of(String service) {
        List<TrackedMachine> ranked = new ArrayList<>(machines.ready());
        long serviceSeed = (long) service.hashCode() << 32;
        ranked.forEach(machine -> machine.setRank(rank(serviceSeed, machine)));
        ranked.sort(Comparator.comparingDouble(TrackedMachine::rank));
        return new ArrayList<>(ranked.subList(0, Math.min(COUNT, ranked.size())));
    }

    private static double rank(long serviceSeed, TrackedMachine machine) {
        double uniform = new SplittableRandom(serviceSeed ^ machine.id().hashCode()).nextDouble();
        return -Math.log(1 - uniform) / (MIN_CORES + machine.load().size(Resource.CORES));
    }
}
