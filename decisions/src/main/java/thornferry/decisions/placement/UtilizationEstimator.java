package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Settings;

/**
 * The part of each machine that is in use, from its filtered samples and the own tasks that they do
 * not include yet. A machine without a sample counts as the mean of those with one.
 */
final class UtilizationEstimator {
    /**
     * Where placers are many, the means are refreshed only this often: they change little, and
     * computing them takes a pass over a large cluster.
     */
    private static final long MEAN_REFRESH_MICROS = 100 * Micros.MILLISECOND;

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

    /** The part of the machine in use if the task runs there too. */
    double withTask(TrackedMachine machine, TrackedTask task, Resource resource) {
        MachineLoad load = machine.load();
        double inUse = load.hasSample() ? sampled(load, resource) : meanInUse.get(resource);
        double added = task.requested().get(resource) + load.uncoveredSum(resource);
        return inUse + usage.expectedUse(resource, added) / load.size(resource);
    }

    /** What {@link #withTask} includes because the machine has no sample, 0 where it has one. */
    double assumedInUse(TrackedMachine machine, Resource resource) {
        return machine.load().hasSample() ? 0 : meanInUse.get(resource);
    }

    double queueLength(TrackedMachine machine) {
        DualModeKalmanFilter queueLength = machine.load().queueLength();
        return queueLength.hasSample() ? queueLength.value() : meanQueueLength;
    }

    private double sampled(MachineLoad load, Resource resource) {
        if (resource == Resource.CORES && load.busyFraction().hasSample()) {
            return load.busyFraction().value();
        }
        // Reports that count requested resources are scaled to what is used of them.
        return load.inUse(resource).value()
                * (settings.reportsMeasureUsage() ? 1 : usage.ratio(resource));
    }

    /** Computes the means over the ready machines that have a sample, unless they are recent. */
    void refreshMeans() {
        long validMicros = machines.outnumberedByPlacers() ? MEAN_REFRESH_MICROS : 1;
        if (context.nowMicros() - meansComputedMicros < validMicros) {
            return;
        }
        meansComputedMicros = context.nowMicros();
        double cores = 0;
        double memory = 0;
        double queueLength = 0;
        int sampledMachines = 0;
        for (TrackedMachine machine : machines.ready()) {
            MachineLoad load = machine.load();
            if (load.hasSample()) {
                sampledMachines++;
                cores += sampled(load, Resource.CORES);
                memory += sampled(load, Resource.MEMORY);
                queueLength += load.queueLength().value();
            }
        }
        int divisor = Math.max(1, sampledMachines);
        meanInUse.set(cores / divisor, memory / divisor);
        meanQueueLength = queueLength / divisor;
    }
}
