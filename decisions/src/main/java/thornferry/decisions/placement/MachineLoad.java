package thornferry.decisions.placement;

import java.util.ArrayDeque;

/**
 * The load of one machine: its size, filtered samples of its load, and the changes by this placer's
 * own tasks that the latest sample does not include yet.
 */
final class MachineLoad {
    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    /** A change of the requested resources by an own task that the samples may not include yet. */
    private record UnsampledChange(long atMicros, double cores, double memory) {}

    private final ResourceVector size = new ResourceVector(0, 0);
    private final ResourceVector latestInUse = new ResourceVector(0, 0);
    private final ArrayDeque<UnsampledChange> unsampledChanges = new ArrayDeque<>();
    private final ResourceVector unsampledSum = new ResourceVector(0, 0);
    private DualModeKalmanFilter coresInUse;
    private DualModeKalmanFilter memoryInUse;
    private DualModeKalmanFilter busyFraction;
    private DualModeKalmanFilter queueLength;
    private long latestSampleMicros = Long.MIN_VALUE;
    private long lastContactMicros;
    private double pendingStarts;

    MachineLoad() {
        clearSamples();
    }

    /**
     * Drops all samples. A machine that has restarted is empty; without this call it would be
     * scored by the samples of its last incarnation until the next sample.
     */
    void clearSamples() {
        coresInUse = new DualModeKalmanFilter();
        memoryInUse = new DualModeKalmanFilter();
        busyFraction = new DualModeKalmanFilter();
        queueLength = new DualModeKalmanFilter();
        latestInUse.set(0, 0);
        lastContactMicros = LONG_AGO_MICROS;
    }

    /**
     * Updates the load with a sample of free capacity that shows the machine as it was {@code
     * lagMicros} ago.
     */
    void sampleFreeCapacity(double freeCores, double freeMemory, long nowMicros, long lagMicros) {
        if (!hasKnownSize() || !Double.isFinite(freeCores + freeMemory)) {
            return;
        }
        latestInUse.set(size.cores() - freeCores, size.memory() - freeMemory);
        coresInUse.update(latestInUse.cores() / size.cores());
        memoryInUse.update(latestInUse.memory() / size.memory());
        lastContactMicros = nowMicros;
        latestSampleMicros = nowMicros - lagMicros;
        dropChangesBefore(latestSampleMicros);
    }

    /** Records that an own task was offered ({@code sign} 1) or has ended ({@code sign} -1). */
    void recordOwnChange(long nowMicros, ResourceVector requested, int sign) {
        double cores = sign * requested.cores();
        double memory = sign * requested.memory();
        unsampledChanges.addLast(new UnsampledChange(nowMicros, cores, memory));
        unsampledSum.add(cores, memory);
    }

    /** Drops the own changes before this time, which the samples include by now. */
    void dropChangesBefore(long timeMicros) {
        while (!unsampledChanges.isEmpty()
                && unsampledChanges.peekFirst().atMicros() < timeMicros) {
            UnsampledChange sampledChange = unsampledChanges.removeFirst();
            unsampledSum.add(-sampledChange.cores(), -sampledChange.memory());
        }
    }

    void setSize(double cores, double memory) {
        size.set(cores, memory);
    }

    double size(Resource resource) {
        return size.get(resource);
    }

    /**
     * Returns whether the size is known, which is the case once the machine is listed with a known
     * kind.
     */
    boolean hasKnownSize() {
        return size.cores() > 0 && size.memory() > 0;
    }

    /** Returns whether there is a sample of free capacity. */
    boolean hasSample() {
        return coresInUse.hasSample();
    }

    /** Returns the amount in use by the latest sample, unfiltered; 0 before the first sample. */
    double latestInUse(Resource resource) {
        return latestInUse.get(resource);
    }

    /**
     * Returns the filtered fraction of the resource that is in use, as the machine's load reports
     * count it.
     */
    DualModeKalmanFilter inUse(Resource resource) {
        return resource == Resource.CORES ? coresInUse : memoryInUse;
    }

    /** Returns the filtered fraction of the cores that is busy, 0 to 1. */
    DualModeKalmanFilter busyFraction() {
        return busyFraction;
    }

    /** Returns the filtered number of tasks that were accepted and have not started. */
    DualModeKalmanFilter queueLength() {
        return queueLength;
    }

    /** Returns the sum of the own changes that the samples do not include yet. */
    double unsampledSum(Resource resource) {
        return unsampledSum.get(resource);
    }

    /**
     * Returns the time of the state that the latest sample shows. Own changes from this time on are
     * not included in it.
     */
    long latestSampleMicros() {
        return latestSampleMicros;
    }

    void recordContact(long nowMicros) {
        lastContactMicros = nowMicros;
    }

    /** Returns when the last load sample or health check result arrived. */
    long lastContactMicros() {
        return lastContactMicros;
    }

    /**
     * Returns the number of own tasks that were offered and have not started, weighted by the cost
     * of their start.
     */
    double pendingStarts() {
        return pendingStarts;
    }

    void addPendingStart(double weight) {
        pendingStarts += weight;
    }

    void removePendingStart(double weight) {
        pendingStarts = Math.max(0, pendingStarts - weight);
    }
}
