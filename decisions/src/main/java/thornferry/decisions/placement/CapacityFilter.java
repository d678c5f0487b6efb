package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Checks whether a machine has capacity for a task, in two ways: the machine accepts tasks by the
 * resources that they request, and tasks slow each other down by the resources that they use.
 */
final class CapacityFilter {
    /** The fraction of a machine's memory in use above which evictions soon follow. */
    private static final double MAX_MEMORY_UTILIZATION = 0.95;

    /**
     * The fraction of a machine that tasks of a class with priority weight 0 must leave free for
     * classes of the highest weight.
     */
    private static final double PRIORITY_RESERVE = 0.15;

    /**
     * How fast the reserve shrinks as the weight of the class grows: it is 0 for classes with at
     * least 1/1.5 of the highest weight.
     */
    private static final double PRIORITY_RESERVE_SLOPE = 1.5;

    /**
     * The divisor applied to the requested amount that is inferred from the usage in load reports.
     * It errs on the low side because a rejected offer corrects an estimate that is too low at
     * once, whereas nothing corrects one that is too high.
     */
    private static final double REQUEST_ESTIMATE_DIVISOR = 1.15;

    /** The tolerance for rounding errors. */
    private static final double EPSILON = 1e-9;

    private final Settings settings;
    private final TaskClassCatalog classes;
    private final TaskUsageEstimator usage;
    private final UtilizationEstimator utilization;

    CapacityFilter(
            Settings settings,
            TaskClassCatalog classes,
            TaskUsageEstimator usage,
            UtilizationEstimator utilization) {
        this.settings = settings;
        this.classes = classes;
        this.usage = usage;
        this.utilization = utilization;
    }

    /**
     * Returns which resource the machine lacks, or null if it has capacity. A shortage is recorded
     * in the summary.
     */
    FilterReason check(TrackedMachine machine, TrackedTask task, CandidateSummary summary) {
        MachineLoad load = machine.load();
        if (!load.hasKnownSize()) {
            return FilterReason.MACHINE_TOO_SMALL;
        }
        double missingCores = missingAmount(machine, task, Resource.CORES);
        double missingMemory = missingAmount(machine, task, Resource.MEMORY);
        if (missingCores <= 0 && missingMemory <= 0) {
            return null;
        }
        double shortageFraction =
                Math.max(
                        missingCores / load.size(Resource.CORES),
                        missingMemory / load.size(Resource.MEMORY));
        if (summary.isCloserFit(shortageFraction) && !isTooSmall(machine, task)) {
            summary.setClosestMachine(machine, shortageFraction, missingCores, missingMemory);
        }
        return missingCores > 0
                ? FilterReason.INSUFFICIENT_CORES
                : FilterReason.INSUFFICIENT_MEMORY;
    }

    /** Returns how much of the resource the machine lacks for the task, 0 if it has enough. */
    private double missingAmount(TrackedMachine machine, TrackedTask task, Resource resource) {
        MachineLoad load = machine.load();
        double inUse = load.latestInUse(resource);
        double requestedOnMachine =
                inUse
                        / (settings.reportsMeasureUsage()
                                ? usage.expectedUse(resource, REQUEST_ESTIMATE_DIVISOR)
                                : 1);
        double excessUtilization =
                utilization.utilizationWithTask(machine, task, resource)
                        - utilization.assumedUtilization(machine, resource)
                        - maxUtilization(resource);
        double missingForAcceptance =
                task.requested().get(resource)
                        + load.unsampledSum(resource)
                        + requestedOnMachine
                        - maxRequested(machine, task, resource);
        double missingForUsage =
                excessUtilization > 0
                        ? excessUtilization
                                * load.size(resource)
                                / Math.max(EPSILON, usage.ratio(resource))
                        : 0;
        return Math.max(0, Math.max(missingForAcceptance, missingForUsage));
    }

    private double maxUtilization(Resource resource) {
        return resource == Resource.CORES ? classes.maxCoreUtilization() : MAX_MEMORY_UTILIZATION;
    }

    /** Returns the sum of requested amounts up to which the machine takes a task of this class. */
    private double maxRequested(TrackedMachine machine, TrackedTask task, Resource resource) {
        double availableFraction =
                1
                        - PRIORITY_RESERVE
                                * Interval.clampToUnit(
                                        1
                                                - PRIORITY_RESERVE_SLOPE
                                                        * task.taskClass().priorityWeight()
                                                        / classes.maxPriorityWeight());
        double overcommit =
                resource == Resource.CORES
                        ? settings.coresOvercommit()
                        : settings.memoryOvercommit();
        return availableFraction * overcommit * machine.load().size(resource) + EPSILON;
    }

    /** Returns whether the machine would lack capacity for the task even if it were empty. */
    boolean isTooSmall(TrackedMachine machine, TrackedTask task) {
        return isTooSmall(machine, task, Resource.CORES)
                || isTooSmall(machine, task, Resource.MEMORY);
    }

    private boolean isTooSmall(TrackedMachine machine, TrackedTask task, Resource resource) {
        double requested = task.requested().get(resource);
        return requested > maxRequested(machine, task, resource)
                || usage.expectedUse(resource, requested)
                        > maxUtilization(resource) * machine.load().size(resource);
    }
}
