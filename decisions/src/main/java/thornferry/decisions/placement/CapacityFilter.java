package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.FilterReason;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Whether a machine has capacity for a task: it accepts tasks by what they request, and serves them
 * well by what they use, so that both are checked.
 */
final class CapacityFilter {
    /** Memory above this part in use soon leads to evictions. */
    private static final double MAX_MEMORY_UTILIZATION = 0.95;

    /**
     * The part of a machine that is reserved from a class of no priority weight for the class of
     * the highest weight.
     */
    private static final double PRIORITY_RESERVE = 0.15;

    /** Classes of at least 1/1.5 of the highest weight have no reserve taken from them. */
    private static final double PRIORITY_RESERVE_SLOPE = 1.5;

    /**
     * Where reports measure usage, what is requested on a machine is only inferred. The inferred
     * amount is reduced by this factor, since a rejected offer at once corrects a guess that is too
     * low and nothing corrects one that is too high.
     */
    private static final double REQUEST_UNDERESTIMATE = 1.15;

    /** Tolerance for rounding errors. */
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
     * Returns which resource the machine lacks, null if it has capacity. A shortage is recorded in
     * the summary.
     */
    FilterReason check(TrackedMachine machine, TrackedTask task, CandidateSummary summary) {
        MachineLoad load = machine.load();
        if (!load.isSized()) {
            return FilterReason.MACHINE_TOO_SMALL;
        }
        double missingCores = missing(machine, task, Resource.CORES);
        double missingMemory = missing(machine, task, Resource.MEMORY);
        if (missingCores <= 0 && missingMemory <= 0) {
            return null;
        }
        double shortage =
                Math.max(
                        missingCores / load.size(Resource.CORES),
                        missingMemory / load.size(Resource.MEMORY));
        if (summary.isCloser(shortage) && !isTooSmall(machine, task)) {
            summary.setClosest(machine, shortage, missingCores, missingMemory);
        }
        return missingCores > 0
                ? FilterReason.INSUFFICIENT_CORES
                : FilterReason.INSUFFICIENT_MEMORY;
    }

    /** How much of the resource the machine lacks for the task, 0 where it lacks none. */
    private double missing(TrackedMachine machine, TrackedTask task, Resource resource) {
        MachineLoad load = machine.load();
        double inUse = load.latestInUse(resource);
        double requestedThere =
                inUse
                        / (settings.reportsMeasureUsage()
                                ? usage.expectedUse(resource, REQUEST_UNDERESTIMATE)
                                : 1);
        double excessUtilization =
                utilization.withTask(machine, task, resource)
                        - utilization.assumedInUse(machine, resource)
                        - maxUtilization(resource);
        double missingForAcceptance =
                task.requested().get(resource)
                        + load.uncoveredSum(resource)
                        + requestedThere
                        - acceptable(machine, task, resource);
        double missingForService =
                excessUtilization > 0
                        ? excessUtilization
                                * load.size(resource)
                                / Math.max(EPSILON, usage.ratio(resource))
                        : 0;
        return Math.max(0, Math.max(missingForAcceptance, missingForService));
    }

    private double maxUtilization(Resource resource) {
        return resource == Resource.CORES ? classes.maxCoreUtilization() : MAX_MEMORY_UTILIZATION;
    }

    /** The sum of requests up to which the machine accepts a task of this class. */
    private double acceptable(TrackedMachine machine, TrackedTask task, Resource resource) {
        double openPart =
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
        return openPart * overcommit * machine.load().size(resource) + EPSILON;
    }

    /** Whether the machine would lack capacity with nothing else on it. */
    boolean isTooSmall(TrackedMachine machine, TrackedTask task) {
        return isTooSmall(machine, task, Resource.CORES)
                || isTooSmall(machine, task, Resource.MEMORY);
    }

    private boolean isTooSmall(TrackedMachine machine, TrackedTask task, Resource resource) {
        double requested = task.requested().get(resource);
        return requested > acceptable(machine, task, resource)
                || usage.expectedUse(resource, requested)
                        > maxUtilization(resource) * machine.load().size(resource);
    }
}
