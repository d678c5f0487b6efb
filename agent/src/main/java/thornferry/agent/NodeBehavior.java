package thornferry.agent;

import java.util.Map;

/**
 * Parameters of an emulated node. Times are microseconds.
 *
 * @param minDecisionMicros shortest time to decide on an offer; one offer is decided at a time
 * @param maxDecisionMicros longest time to decide on an offer
 * @param offerQueueLength maximum number of offers that wait for a decision; further ones are
 *     rejected
 * @param concurrentStarts number of start slots: tasks that may start at the same time
 * @param startMicros duration of a start if the program of the service is present
 * @param coldProgramFactor factor by which a start takes longer if the program is absent
 * @param cachedPrograms number of programs above which unused ones are evicted
 * @param slowStartMicros duration of the slow start of a node that has just started; 0 for none
 * @param slowStartInitialShare initial pace of starts, as a fraction of the full pace
 * @param slowStartMultiple a node in slow start crashes if it is offered more than this multiple of
 *     the tasks that it can start
 * @param slowStartWindowMicros length of the sliding window in which these offers are counted
 * @param slowStartOffers number of offers in a window that are always allowed
 * @param minUsageFraction smallest fraction of its requested resources that a task uses
 * @param maxUsageFraction largest fraction; above 1 a node can run out of memory
 * @param defaultRunMicros run time of a task that does not specify one
 * @param usageReportMicros interval of the usage reports of running tasks; 0 for none
 * @param keyWindowMicrosByClass by task class, the time for which other attempts with the same
 *     idempotency key are rejected within the zone
 */
public record NodeBehavior(
        long minDecisionMicros,
        long maxDecisionMicros,
        int offerQueueLength,
        int concurrentStarts,
        long startMicros,
        double coldProgramFactor,
        int cachedPrograms,
        long slowStartMicros,
        double slowStartInitialShare,
        double slowStartMultiple,
        long slowStartWindowMicros,
        int slowStartOffers,
        double minUsageFraction,
        double maxUsageFraction,
        long defaultRunMicros,
        long usageReportMicros,
        Map<String, Long> keyWindowMicrosByClass) {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Returns the behavior of a typical production node, with slow start and usage reports. */
    public static NodeBehavior usual(Map<String, Long> keyWindowMicrosByClass) {
        return new NodeBehavior(
                2 * MICROS_PER_MILLI,
                8 * MICROS_PER_MILLI,
                32,
                4,
                60 * MICROS_PER_MILLI,
                6,
                8,
                15 * MICROS_PER_SECOND,
                0.25,
                2,
                3 * MICROS_PER_SECOND,
                48,
                0.5,
                1.02,
                20 * MICROS_PER_SECOND,
                5 * MICROS_PER_SECOND,
                keyWindowMicrosByClass);
    }

    /**
     * Returns the behavior of a node without delays, limits or slow start, for measurements of a
     * placer that the nodes must not slow down.
     */
    public static NodeBehavior instant(Map<String, Long> keyWindowMicrosByClass) {
        return new NodeBehavior(
                0,
                0,
                100_000,
                100_000,
                0,
                1,
                8,
                0,
                1,
                1e9,
                MICROS_PER_SECOND,
                Integer.MAX_VALUE,
                0.5,
                0.9,
                MICROS_PER_SECOND,
                0,
                keyWindowMicrosByClass);
    }

    /**
     * Checks the values and copies the map.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public NodeBehavior {
        keyWindowMicrosByClass = Map.copyOf(keyWindowMicrosByClass);
        requireAtLeast("maxDecisionMicros", (double) maxDecisionMicros, (double) minDecisionMicros);
        requireAtLeast("maxUsageFraction", maxUsageFraction, minUsageFraction);
        requireAtLeast("offerQueueLength", offerQueueLength, 1);
        requireAtLeast("concurrentStarts", concurrentStarts, 1);
        if (!(slowStartInitialShare > 0)) {
            throw new IllegalArgumentException(
                    "node behavior: slowStartInitialShare is "
                            + slowStartInitialShare
                            + ", must be greater than 0");
        }
    }

    private static void requireAtLeast(String field, double value, double min) {
        if (value < min) {
            throw new IllegalArgumentException(
                    "node behavior: " + field + " is " + value + ", must be at least " + min);
        }
    }
}
