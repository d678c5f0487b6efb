package thornferry.agent;

import java.util.Map;

/**
 * How a node's stand-in work behaves. Times are microseconds.
 *
 * @param thinkLeast the node looks at one offer at a time, for at least so long each
 * @param thinkMost and at most so long
 * @param queue offers that may wait; more are refused
 * @param startsAtOnce tasks that start at the same time; others wait their turn
 * @param start of a start where the service's program is present
 * @param startFactor times so long where it is absent
 * @param programs kept after their last task has ended
 * @param ramp a node that has started is cold for so long
 * @param coldFrom its pace at first, as a part of the full one
 * @param coldMultiple it falls over when offered more than so many times what it can start
 * @param coldWindow within so long
 * @param coldOffers so many offers within the window are always borne
 * @param usesLeast a task uses at least this part of what it asked for
 * @param usesMost and at most this, so that above 1 memory can run out
 * @param runsFor of a task that does not say
 * @param usesEvery how often a node reports what its tasks use; 0 for never
 * @param keyWindows by class: repeats of a key are dropped within the hall for so long
 */
public record NodeBehavior(
        long thinkLeast,
        long thinkMost,
        int queue,
        int startsAtOnce,
        long start,
        double startFactor,
        int programs,
        long ramp,
        double coldFrom,
        double coldMultiple,
        long coldWindow,
        int coldOffers,
        double usesLeast,
        double usesMost,
        long runsFor,
        long usesEvery,
        Map<String, Long> keyWindows) {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    /** Much like the nodes that the project's first users described. */
    public static NodeBehavior usual(Map<String, Long> keyWindows) {
        return new NodeBehavior(
                2 * MS,
                8 * MS,
                32,
                4,
                60 * MS,
                6,
                8,
                15 * SECOND,
                0.25,
                2,
                3 * SECOND,
                48,
                0.5,
                1.02,
                20 * SECOND,
                5 * SECOND,
                keyWindows);
    }

    /** Answers at once and starts at once: for measuring a placer rather than nodes. */
    public static NodeBehavior instant(Map<String, Long> keyWindows) {
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
                SECOND,
                Integer.MAX_VALUE,
                0.5,
                0.9,
                SECOND,
                0,
                keyWindows);
    }

    public NodeBehavior {
        keyWindows = Map.copyOf(keyWindows);
        if (thinkMost < thinkLeast
                || usesMost < usesLeast
                || queue < 1
                || startsAtOnce < 1
                || !(coldFrom > 0)) {
            throw new IllegalArgumentException("a node's behaviour is out of range");
        }
    }
}
