package thornferry.decisions.placement;

import java.util.ArrayDeque;

/**
 * The load of one machine: its size, filtered samples of its load, and the changes by this placer's
 * own tasks that the latest sample cannot include yet.
 */
final class MachineLoad {
    private static final long LONG_AGO_MICROS = Long.MIN_VALUE / 2;

    /** A change of the requested resources by an own task that samples may not include yet. */
    private record UncoveredChange(long atMicros, double cores, double memory) {}

    private final ResourceVector size = new ResourceVector(0, 0);
    private final ResourceVector latestInUse = new ResourceVector(0, 0);
    private final ArrayDeque<UncoveredChange> uncoveredChanges = new ArrayDeque<>();
    private final ResourceVector uncoveredSum = new ResourceVector(0, 0);
    private DualModeKalmanFilter coresInUse;
    private DualModeKalmanFilter memoryInUse;
    private DualModeKalmanFilter busyFraction;
    private DualModeKalmanFilter queueLength;
    private long uncoveredSinceMicros = Long.MIN_VALUE;
    private long lastHeardMicros;
    private double pendingStarts;

    MachineLoad() {
        forgetSamples();
    }

    /**
     * Drops all samples. A machine that has restarted is empty, whatever its last samples said;
     * without this it would be judged by them until the next one.
     */
    void forgetSamples() {
        coresInUse = new DualModeKalmanFilter();
        memoryInUse = new DualModeKalmanFilter();
        busyFraction = new DualModeKalmanFilter();
        queueLength = new DualModeKalmanFilter();
        latestInUse.set(0, 0);
        lastHeardMicros = LONG_AGO_MICROS;
    }

    /** Takes a sample of free capacity that shows the machine as it was {@code lagMicros} ago. */
    void sampleFreeCapacity(double freeCores, double freeMemory, long nowMicros, long lagMicros) {
        if (!isSized() || !Double.isFinite(freeCores + freeMemory)) {
            return;
        }
        latestInUse.set(size.cores() - freeCores, size.memory() - freeMemory);
        coresInUse.update(latestInUse.cores() / size.cores());
        memoryInUse.update(latestInUse.memory() / size.memory());
        lastHeardMicros = nowMicros;
        uncoveredSinceMicros = nowMicros - lagMicros;
        dropChangesBefore(uncoveredSinceMicros);
    }

    /** Records that an own task was added ({@code sign} 1) or has ended ({@code sign} -1). */
    void recordOwnChange(long nowMicros, ResourceVector requested, int sign) {
        double cores = sign * requested.cores();
        double memory = sign * requested.memory();
        uncoveredChanges.addLast(new UncoveredChange(nowMicros, cores, memory));
        uncoveredSum.add(cores, memory);
    }

    /** Drops the own changes before this time, which samples include by now. */
    void dropChangesBefore(long timeMicros) {
        while (!uncoveredChanges.isEmpty()
                && uncoveredChanges.peekFirst().atMicros() < timeMicros) {
            UncoveredChange covered = uncoveredChanges.removeFirst();
            uncoveredSum.add(-covered.cores(), -covered.memory());
        }
    }

    void setSize(double cores, double memory) {
        size.set(cores, memory);
    }

    double size(Resource resource) {
        return size.get(resource);
    }

    /** Whether the size is known: it is not before the machine is listed with a known kind. */
    boolean isSized() {
        return size.cores() > 0 && size.memory() > 0;
    }

    /** Whether there is a sample of free capacity. */
    boolean hasSample() {
        return coresInUse.hasSample();
    }

    /** The latest unfiltered amount in use, 0 before the first sample. */
    double latestInUse(Resource resource) {
        return latestInUse.get(resource);
    }

    /** The filtered part of the machine in use, as its reports count it. */
    DualModeKalmanFilter inUse(Resource resource) {
        return resource == Resource.CORES ? coresInUse : memoryInUse;
    }

    /** The filtered part of the cores that is busy, 0 to 1. */
    DualModeKalmanFilter busyFraction() {
        return busyFraction;
    }

    /** The filtered number of tasks that were accepted and have not started. */
    DualModeKalmanFilter queueLength() {
        return queueLength;
    }

    /** The sum of own changes that samples do not include yet. */
    double uncoveredSum(Resource resource) {
        return uncoveredSum.get(resource);
    }

    /** Own changes from this time on are not included in the latest sample. */
    long uncoveredSinceMicros() {
        return uncoveredSinceMicros;
    }

    void markHeard(long nowMicros) {
        lastHeardMicros = nowMicros;
    }

    /** When the last sample or the result of a health check came. */
    long lastHeardMicros() {
        return lastHeardMicros;
    }

    /** Own tasks that were sent and have not started, weighted by what their start costs. */
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
