package thornferry.agent;

import java.util.ArrayDeque;

/**
 * The reduced capacity of a node in slow start. Such a node starts tasks at a pace that rises
 * linearly to the full pace, and crashes if it is offered far more tasks than it can start.
 */
final class SlowStartCapacity {
    private static final double FULL_PACE = 1;

    private final NodeBehavior behavior;
    private final long startedAtMicros;
    private final ArrayDeque<Long> offerTimesInWindow = new ArrayDeque<>();

    SlowStartCapacity(NodeBehavior behavior, long startedAtMicros) {
        this.behavior = behavior;
        this.startedAtMicros = startedAtMicros;
    }

    /** Counts an offer; returns true if the node is in slow start and the offer overloads it. */
    boolean isOverloadedByOffer(long now) {
        if (now >= startedAtMicros + behavior.slowStartMicros()) {
            return false;
        }
        offerTimesInWindow.add(now);
        while (offerTimesInWindow.peekFirst() <= now - behavior.slowStartWindowMicros()) {
            offerTimesInWindow.removeFirst();
        }
        return offerTimesInWindow.size() > maxOffers(now);
    }

    private double maxOffers(long now) {
        double startsPerWindow =
                behavior.concurrentStarts()
                        * (double) behavior.slowStartWindowMicros()
                        / Math.max(1, behavior.startMicros() * behavior.coldProgramFactor());
        return Math.max(
                behavior.slowStartOffers(),
                behavior.slowStartMultiple() * pace(now) * startsPerWindow);
    }

    /** Returns the current pace of starts, as a fraction of the full pace. */
    double pace(long now) {
        double progress =
                behavior.slowStartMicros() == 0
                        ? FULL_PACE
                        : Math.min(
                                FULL_PACE,
                                (now - startedAtMicros) / (double) behavior.slowStartMicros());
        return behavior.slowStartInitialShare() + (1 - behavior.slowStartInitialShare()) * progress;
    }
}
