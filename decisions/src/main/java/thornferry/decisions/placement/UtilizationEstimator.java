package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Settings;

/**
 * Estimates the utilization of each machine, the fraction of a resource in use, from the filtered
 * samples and the own tasks that the samples do not include yet. A machine without a sample is
 * assumed to have the mean utilization of the others.
 */
final class UtilizationEstimator {
    /**
     * The interval at which the means are refreshed if placers outnumber machines. The means change
     * little, and computing them takes a pass over a large cluster.
     */
    private static final long MEAN_REFRESH_INTERVAL_MICROS = 100 * Micros.MILLISECOND;

    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    private final Settings settings;
    private final EventContext context;
    private final MachineTracker machines;
    private final TaskUsageEstimator usage;
    private final ResourceVector meanInUse = new ResourceVector(0, 0);
    private double meanQueueLength;
    private long meansComputedMicros = LONG_AGO_MICROS;

    UtilizationEstimator(
            Settings settings,
            EventContext context,
            MachineTracker machines,
            TaskUsageEstimator usage) {
        this.settings = settings;
        this.context = context;
        this.machines = machines;
        this.usage = usage;
    }

    /** Returns the utilization of the machine if the task ran there in addition. */
    double utilizationWithTask(TrackedMachine machine, TrackedTask task, Resource resource) {
        MachineLoad load = machine.load();
        double inUse =
                load.hasSample() ? sampledUtilization(load, resource) : meanInUse.get(resource);
        double addedRequests = task.requested().get(resource) + load.unsampledSum(resource);
        return inUse + usage.expectedUse(resource, addedRequests) / load.size(resource);
    }

    /**
     * Returns the utilization that {@link #utilizationWithTask} assumes because the machine has no
     * sample, 0 if it has one.
     */
    double assumedUtilization(TrackedMachine machine, Resource resource) {
        return machine.load().hasSample() ? 0 : meanInUse.get(resource);
    }

    double queueLength(TrackedMachine machine) {
        DualModeKalmanFilter queueLength = machine.load().queueLength();
        return queueLength.hasSample() ? queueLength.value() : meanQueueLength;
    }

    private double sampledUtilization(MachineLoad load, Resource resource) {
        if (resource == Resource.CORES && load.busyFraction().hasSample()) {
            return load.busyFraction().value();
        }
        // Reports that count requested resources are scaled by the fraction of them that is used.
        return load.inUse(resource).value()
                * (settings.reportsMeasureUsage() ? 1 : usage.ratio(resource));
    }

    /**
     * Computes the means over the ready machines that have a sample, unless the last means are
     * recent.
     */
    void refreshMeans() {
        long refreshIntervalMicros =
                machines.isOutnumberedByPlacers() ? MEAN_REFRESH_INTERVAL_MICROS : 1;
        if (context.nowMicros() - meansComputedMicros < refreshIntervalMicros) {
            return;
        }
        meansComputedMicros = context.nowMicros();
        double cores = 0;
        double memory = 0;
        double queueLength = 0;
        int sampledMachines = 0;
        for (TrackedMachine machine : machines.readyMachines()) {
            MachineLoad load = machine.load();
            if (load.hasSample()) {
                sampledMachines++;
                cores += sampledUtilization(load, Resource.CORES);
                memory += sampledUtilization(load, Resource.MEMORY);
                queueLength += load.queueLength().value();
            }
        }
        int divisor = Math.max(1, sampledMachines);
        meanInUse.set(cores / divisor, memory / divisor);
        meanQueueLength = queueLength / divisor;
    }
}
