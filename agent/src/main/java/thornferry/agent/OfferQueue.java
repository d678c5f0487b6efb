package thornferry.agent;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * Offers that wait for a decision, in the order of arrival. The node decides on one offer at a
 * time, after a random decision time within the configured range.
 */
final class OfferQueue {
    static final long NEVER = Long.MAX_VALUE;

    private final NodeBehavior behavior;
    private final SplittableRandom random;
    private final ArrayDeque<EmulatedTask> offers = new ArrayDeque<>();
    private long decisionMicros = NEVER;

    OfferQueue(NodeBehavior behavior, SplittableRandom random) {
        this.behavior = behavior;
        this.random = random;
    }

    boolean isFull() {
        return offers.size() >= behavior.offerQueueLength();
    }

    int size() {
        return offers.size();
    }

    void add(long now, EmulatedTask offer) {
        offers.add(offer);
        if (offers.size() == 1) {
            scheduleDecision(now);
        }
    }

    /** Removes and returns the first offer if its decision is due, else returns null. */
    EmulatedTask pollDue(long now) {
        if (offers.isEmpty() || decisionMicros > now) {
            return null;
        }
        EmulatedTask offer = offers.poll();
        decisionMicros = NEVER;
        if (!offers.isEmpty()) {
            scheduleDecision(now);
        }
        return offer;
    }

    /** Removes an offer; if it was the first, the decision on the next one is due at once. */
    void remove(long now, EmulatedTask offer) {
        if (offers.peekFirst() == offer) {
            decisionMicros = offers.size() > 1 ? now : NEVER;
        }
        offers.remove(offer);
    }

    /** When the next decision is due, or {@link #NEVER}. */
    long nextDecisionMicros() {
        return offers.isEmpty() ? NEVER : decisionMicros;
    }

    private void scheduleDecision(long now) {
        long spreadMicros = behavior.maxDecisionMicros() - behavior.minDecisionMicros();
        decisionMicros =
                now
                        + behavior.minDecisionMicros()
                        + (spreadMicros > 0 ? random.nextLong(spreadMicros) : 0);
    }
}
