package thornferry.testbed.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of measured latencies, in microseconds; all 0 if there are no samples.
 *
 * @param samples number of measured latencies
 * @param p50Micros median
 * @param p99Micros 99th percentile
 * @param p999Micros 99.9th percentile
 * @param maxMicros maximum
 */
public record LatencySummary(
        long samples, long p50Micros, long p99Micros, long p999Micros, long maxMicros) {
    /** Summarizes a histogram of microseconds. */
    static LatencySummary of(Histogram histogram) {
        return new LatencySummary(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(99),
                histogram.getValueAtPercentile(99.9),
                histogram.getMaxValue());
    }
}
