package thornferry.agent;

import java.util.ArrayDeque;
import java.util.SplittableRandom;

/**
 * The offers that wait for a decision, in the order of arrival. A node decides on one offer at a
 * time; each decision takes a random time within the configured range.
 */
final class OfferQueue {
    static final long NEVER = Long.MAX_VALUE;

    private final NodeBehavior behavior;
    private final SplittableRandom random;
    private final ArrayDeque<EmulatedTask> offers = new ArrayDeque<>();
    private long decisionDueMicros = NEVER;

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

    /** Removes and returns the first offer if its decision is due; otherwise returns null. */
    EmulatedTask pollDue(long now) {
        if (offers.isEmpty() || decisionDueMicros > now) {
            return null;
        }
        EmulatedTask offer = offers.poll();
        decisionDueMicros = NEVER;
        if (!offers.isEmpty()) {
            scheduleDecision(now);
        }
        return offer;
    }

    /** Removes an offer; if it was the first, the decision on the next one is due immediately. */
    void remove(long now, EmulatedTask offer) {
        if (offers.peekFirst() == offer) {
            decisionDueMicros = offers.size() > 1 ? now : NEVER;
        }
        offers.remove(offer);
    }

    /** Returns when the next decision is due, or {@link #NEVER}. */
    long nextDecisionMicros() {
        return offers.isEmpty() ? NEVER : decisionDueMicros;
    }

    private void scheduleDecision(long now) {
        long rangeMicros = behavior.maxDecisionMicros() - behavior.minDecisionMicros();
        decisionDueMicros =
                now
                        + behavior.minDecisionMicros()
                        + (rangeMicros > 0 ? random.nextLong(rangeMicros) : 0);
    }
}
