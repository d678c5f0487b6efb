package thornferry.decisions.placement;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Draws the machines that are scored for a task: a random sample of about twice the square root of
 * the number of eligible machines, and the machines that have or are expected to have the service's
 * program.
 *
 * <p>Scoring a sample instead of all machines keeps placers with the same, outdated view of the
 * load from choosing the same machine at the same time.
 */
final class MachineSampler {
    /** The sample size divided by the square root of the number of eligible machines. */
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

    /** Draws a sample from the eligible machines, whose list is reordered. */
    Set<TrackedMachine> sample(TrackedTask task, List<TrackedMachine> eligible) {
        Set<TrackedMachine> sample = new LinkedHashSet<>(task.preferredMachines());
        sample.addAll(task.healthCheckRound().machines());
        if (preferredMachines.areNeeded()) {
            // A random sample of a large cluster would rarely include these machines.
            sample.addAll(affinity.machinesOf(task.service()));
        }
        sample.retainAll(eligible);
        int drawCount = Math.min(eligible.size(), sampleSize(eligible.size()));
        for (int i = 0; i < drawCount; i++) {
            Collections.swap(eligible, i, i + random.nextInt(eligible.size() - i));
            sample.add(eligible.get(i));
        }
        return sample;
    }

    private int sampleSize(int eligibleMachines) {
        int population =
                machines.isOutnumberedByPlacers()
                        ? machines.readyMachines().size()
                        : eligibleMachines;
        return (int) Math.ceil(SAMPLE_FACTOR * Math.sqrt(population));
    }
}
