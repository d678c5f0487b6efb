package thornferry.decisions.placement;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Draws the machines that are scored for a task: a random sample of about twice the square root of
 * the eligible ones, and those on which the service's program is or is expected.
 *
 * <p>Scoring a sample instead of all keeps placers with the same, late view of the load from
 * choosing the same machine at once.
 */
final class MachineSampler {
    /** Sampled machines per square root of the eligible ones. */
    private static final double SAMPLE_FACTOR = 2.0;

    private final SplittableRandom random;
    private final MachineTracker machines;
    private final PreferredMachines preferredMachines;
    private final ServiceAffinity affinity;

    MachineSampler(
            Settings settings,
            MachineTracker machines,
            PreferredMachines preferredMachines,
            ServiceAffinity affinity) {
        this.random = new SplittableRandom(settings.seed());
        this.machines = machines;
        this.preferredMachines = preferredMachines;
        this.affinity = affinity;
    }

    /** Draws a sample from the eligible machines, which it reorders. */
    Set<TrackedMachine> sample(TrackedTask task, List<TrackedMachine> eligible) {
        Set<TrackedMachine> sample = new LinkedHashSet<>(task.preferredMachines());
        sample.addAll(task.healthCheckRound().machines());
        if (preferredMachines.areNeeded()) {
            // A random sample of a large cluster would hardly include these.
            sample.addAll(affinity.machinesOf(task.service()));
        }
        sample.retainAll(eligible);
        int drawn = Math.min(eligible.size(), sampleSize(eligible.size()));
        for (int i = 0; i < drawn; i++) {
            Collections.swap(eligible, i, i + random.nextInt(eligible.size() - i));
            sample.add(eligible.get(i));
        }
        return sample;
    }

    private int sampleSize(int eligibleMachines) {
        int population =
                machines.outnumberedByPlacers() ? machines.ready().size() : eligibleMachines;
        return (int) Math.ceil(SAMPLE_FACTOR * Math.sqrt(population));
    }
}
