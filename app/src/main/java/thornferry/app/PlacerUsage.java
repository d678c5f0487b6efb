package thornferry.app;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * What a placer's process used during a measurement.
 *
 * @param cpu CPU time; zero if unknown
 * @param residentMegabytes resident memory at the end; empty if unknown
 */
record PlacerUsage(Duration cpu, OptionalLong residentMegabytes) {
    /** The usage of a placer in a process that is not this command's. */
    static final PlacerUsage UNKNOWN = new PlacerUsage(Duration.ZERO, OptionalLong.empty());

    private static final double NANOS_PER_MICRO = 1e3;

    /** CPU time divided by a number of tasks. */
    double cpuMicrosPerTask(long tasks) {
        return cpu.toNanos() / NANOS_PER_MICRO / Math.max(1, tasks);
    }
}
