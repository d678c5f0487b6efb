package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Scores machines for a task by a weighted sum of the costs of placing it there; lower is better.
 */
final class MachineScorer {
    private static final double OVERLOAD_WEIGHT = 3.0;
    private static final double ERROR_WEIGHT = OVERLOAD_WEIGHT;
    private static final double SETUP_WEIGHT = 0.5;
    private static final double QUEUE_WEIGHT = 0.6;
    private static final double UTILIZATION_WEIGHT = 0.3;

    /**
     * The factor of the utilization term if machines in use cost nothing, so that load is spread.
     */
    private static final double SPREAD_FACTOR = 2.5;

    /**
     * The factor of the set-up term if the service has preferred machines. It is large because only
     * placers that choose these machines share the set-up.
     */
    private static final double PREFERRED_FACTOR = 3.0;

    /**
     * How far below its limit core utilization begins to count as overload. The cost reaches its
     * maximum {@link #CORE_OVERLOAD_RANGE} above that point.
     */
    private static final double CORE_OVERLOAD_MARGIN = 0.1;

    private static final double CORE_OVERLOAD_RANGE = 0.3;

    /**
     * The fraction of memory in use above which tasks slow down. Above it this cost makes the
     * machine less preferred; further up {@link CapacityFilter} excludes it.
     */
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

    /** Returns the cost of placing the task on the machine; lower is better. */
    double score(TrackedMachine machine, TrackedTask task) {
        double cores = utilization.utilizationWithTask(machine, task, Resource.CORES);
        double memory = utilization.utilizationWithTask(machine, task, Resource.MEMORY);
        double setupFactor = task.preferredMachines().isEmpty() ? 1 : PREFERRED_FACTOR;
        double setupCost = SETUP_WEIGHT * setupFactor * affinity.setupLikelihood(machine, task);
        boolean sameZone = machine.entry().zone().equals(settings.zone());
        return OVERLOAD_WEIGHT * overloadCost(cores, memory)
                + UTILIZATION_WEIGHT * utilizationCost(cores, memory)
                + setupCost
                + QUEUE_WEIGHT * queueCost(machine)
                + errorCost(machine, task)
                + settings.costWeights().crossZone() * (sameZone ? 0 : 1);
    }

    private double overloadCost(double cores, double memory) {
        double coreExcess = cores - classes.maxCoreUtilization() + CORE_OVERLOAD_MARGIN;
        double memoryExcess = memory - MEMORY_OVERLOAD_START;
        return Interval.clampToUnit(coreExcess / CORE_OVERLOAD_RANGE)
                + Interval.clampToUnit(memoryExcess / MEMORY_OVERLOAD_RANGE);
    }

    /**
     * Returns the cost of the machine's utilization. If machines in use have a cost, fuller ones
     * are better (bin packing); otherwise emptier ones are better.
     */
    private double utilizationCost(double cores, double memory) {
        double maxUtilization = Math.max(cores, memory);
        return settings.costWeights().machineInUse() > 0
                ? 1 - maxUtilization
                : SPREAD_FACTOR * maxUtilization;
    }

    private double queueCost(TrackedMachine machine) {
        double queuedTasks =
                Math.max(utilization.queueLength(machine), machine.load().pendingStarts());
        return Interval.clampToUnit(queuedTasks / MAX_QUEUE_LENGTH);
    }

    /**
     * Returns the cost of the machine's error rate. It counts for non-idempotent tasks alone: an
     * error fails such a task, while others are retried.
     */
    private static double errorCost(TrackedMachine machine, TrackedTask task) {
        return task.taskClass().idempotency() == Idempotency.NON_IDEMPOTENT
                ? ERROR_WEIGHT * machine.health().errorRate()
                : 0;
    }
}
