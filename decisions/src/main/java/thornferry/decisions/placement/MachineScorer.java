package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Scores machines for a task as a weighted sum of what the placement would cost; lower is better.
 */
final class MachineScorer {
    private static final double OVERLOAD_WEIGHT = 3.0;
    private static final double ERROR_WEIGHT = OVERLOAD_WEIGHT;
    private static final double SETUP_WEIGHT = 0.5;
    private static final double QUEUE_WEIGHT = 0.6;
    private static final double UTILIZATION_WEIGHT = 0.3;

    /** Multiplies the utilization term where machines in use cost nothing and load is spread. */
    private static final double SPREAD_FACTOR = 2.5;

    /** Multiplies the set-up term with preferred machines: placers only meet there together. */
    private static final double PREFERRED_FACTOR = 3.0;

    /** Core utilization counts as overload from this far below its limit, up to the full term. */
    private static final double CORE_OVERLOAD_MARGIN = 0.1;

    private static final double CORE_OVERLOAD_RANGE = 0.3;

    /** Memory above this part in use slows tasks: avoided by weight, then by the filter. */
    private static final double MEMORY_OVERLOAD_START = 0.85;

    private static final double MEMORY_OVERLOAD_RANGE = 0.15;

    /** The queue length from which a longer queue makes no difference. */
    private static final double MAX_QUEUE_LENGTH = 20;

    private final Settings settings;
    private final TaskClassCatalog classes;
    private final UtilizationEstimator utilization;
    private final ServiceAffinity affinity;

    MachineScorer(
            Settings settings,
            TaskClassCatalog classes,
            UtilizationEstimator utilization,
            ServiceAffinity affinity) {
        this.settings = settings;
        this.classes = classes;
        this.utilization = utilization;
        this.affinity = affinity;
    }

    double score(TrackedMachine machine, TrackedTask task) {
        double cores = utilization.withTask(machine, task, Resource.CORES);
        double memory = utilization.withTask(machine, task, Resource.MEMORY);
        double setupFactor = task.preferredMachines().isEmpty() ? 1 : PREFERRED_FACTOR;
        double setup = SETUP_WEIGHT * setupFactor * affinity.setupLikelihood(machine, task);
        boolean sameZone = machine.entry().zone().equals(settings.zone());
        return OVERLOAD_WEIGHT * overload(cores, memory)
                + UTILIZATION_WEIGHT * utilizationCost(cores, memory)
                + setup
                + QUEUE_WEIGHT * queue(machine)
                + errors(machine, task)
                + settings.costWeights().crossZone() * (sameZone ? 0 : 1);
    }

    private double overload(double cores, double memory) {
        double coreExcess = cores - classes.maxCoreUtilization() + CORE_OVERLOAD_MARGIN;
        double memoryExcess = memory - MEMORY_OVERLOAD_START;
        return Interval.clampToUnit(coreExcess / CORE_OVERLOAD_RANGE)
                + Interval.clampToUnit(memoryExcess / MEMORY_OVERLOAD_RANGE);
    }

    /**
     * Where machines in use are priced, fuller ones are better (bin packing); else emptier ones.
     */
    private double utilizationCost(double cores, double memory) {
        double utilizationPart = Math.max(cores, memory);
        return settings.costWeights().machineInUse() > 0
                ? 1 - utilizationPart
                : SPREAD_FACTOR * utilizationPart;
    }

    private double queue(TrackedMachine machine) {
        double waiting = Math.max(utilization.queueLength(machine), machine.load().pendingStarts());
        return Interval.clampToUnit(waiting / MAX_QUEUE_LENGTH);
    }

    /** Errors cost other tasks little, since they are retried, but fail a non-idempotent one. */
    private static double errors(TrackedMachine machine, TrackedTask task) {
        return task.taskClass().idempotency() == Idempotency.NON_IDEMPOTENT
                ? ERROR_WEIGHT * machine.health().errorRate()
                : 0;
    }
}
