package thornferry.agent;

import java.util.Map;

/**
 * Parameters of an emulated node. Times are microseconds.
 *
 * @param minDecisionMicros shortest time to decide on an offer; one offer is decided at a time
 * @param maxDecisionMicros longest time to decide on an offer
 * @param offerQueueLength offers that may wait for a decision; more are rejected
 * @param concurrentStarts tasks that may start at the same time; others wait for a start slot
 * @param startMicros duration of a start if the program of the service is present
 * @param coldProgramFactor multiplies the duration of a start if the program is absent
 * @param cachedPrograms unused programs are evicted when there are more programs than this
 * @param slowStartMicros duration of the slow start of a node that has just started; 0 for none
 * @param slowStartInitialShare pace of starts at first, as a fraction of the full pace
 * @param slowStartMultiple in slow start the node crashes if it is offered more than this many
 *     times the tasks that it can start
 * @param slowStartWindowMicros sliding window in which these offers are counted
 * @param slowStartOffers number of offers in a window that never crash the node
 * @param minUsageFraction smallest used part of the resources that a task requests
 * @param maxUsageFraction largest used part; above 1 a node can run out of memory
 * @param defaultRunMicros run time of a task that specifies none
 * @param usageReportMicros interval of the usage reports of running tasks; 0 for none
 * @param keyWindowMicrosByClass by task class, how long another attempt with the same idempotency
 *     key is rejected within the zone
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
    private static final long MILLI_MICROS = 1_000;
    private static final long SECOND_MICROS = 1_000_000;

    /** A typical production node: decisions in milliseconds, slow start, usage reports. */
    public static NodeBehavior usual(Map<String, Long> keyWindowMicrosByClass) {
        return new NodeBehavior(
                2 * MILLI_MICROS,
                8 * MILLI_MICROS,
                32,
                4,
                60 * MILLI_MICROS,
                6,
                8,
                15 * SECOND_MICROS,
                0.25,
                2,
                3 * SECOND_MICROS,
                48,
                0.5,
                1.02,
                20 * SECOND_MICROS,
                5 * SECOND_MICROS,
                keyWindowMicrosByClass);
    }

    /** A node without delays, limits or slow start, to measure a placer rather than its nodes. */
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
                SECOND_MICROS,
                Integer.MAX_VALUE,
                0.5,
                0.9,
                SECOND_MICROS,
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
