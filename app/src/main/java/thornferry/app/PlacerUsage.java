package thornferry.app;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * The resources that a placer's process used during a measurement.
 *
 * @param cpu CPU time; zero if unknown
 * @param residentMegabytes resident memory at the end; empty if unknown
 */
record PlacerUsage(Duration cpu, OptionalLong residentMegabytes) {
    /** The unknown usage of a placer whose process this command has not started. */
    static final PlacerUsage UNKNOWN = new PlacerUsage(Duration.ZERO, OptionalLong.empty());

    private static final double NANOS_PER_MICRO = 1e3;

    /** Returns the CPU time divided by a number of tasks. */
    double cpuMicrosPerTask(long tasks) {
        return cpu.toNanos() / NANOS_PER_MICRO / Math.max(1, tasks);
    }
}
