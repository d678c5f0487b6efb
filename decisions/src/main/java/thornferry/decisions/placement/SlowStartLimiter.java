package thornferry.decisions.placement;

import java.util.ArrayDeque;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Slow start: limits what all placers together send to a machine that has started recently.
 *
 * <p>Where this placer's share of the machine's budget is one offer or more, it sends no more than
 * that within the counting span. Where it is less, placers take slots by the clock that all share:
 * the slots for one machine begin 1.5 windows / (budget - 1) apart and last half a window, so that
 * those which overlap any one window number the budget at most. A previous incarnation of this
 * placer counts as having spent its share.
 */
final class SlowStartLimiter {
    /** The part of its share that a placer spends. */
    private static final double SPENT_SHARE = 0.8;

    /**
     * The span in which offers are counted, in windows: more than one, since an offer may take
     * longer to reach the machine than the next.
     */
    private static final double COUNTING_SPAN_WINDOWS = 1.25;

    /** How long a placer's slot to send one offer lasts, in windows. */
    private static final double SLOT_WINDOWS = 0.5;

    private final Settings settings;
    private final EventContext context;

    SlowStartLimiter(Settings settings, EventContext context) {
        this.settings = settings;
        this.context = context;
    }

    /** Whether the machine may get an offer now as far as slow start is concerned. */
    boolean allowsOffer(TrackedMachine machine) {
        long nowMicros = context.nowMicros();
        long windowMicros = Math.max(1, settings.rules().slowStartWindowMicros());
        long spanMicros = (long) (COUNTING_SPAN_WINDOWS * windowMicros);
        ArrayDeque<Long> recentOffers = machine.recentOfferMicros();
        while (!recentOffers.isEmpty() && recentOffers.peekFirst() <= nowMicros - spanMicros) {
            recentOffers.removeFirst();
        }
        if (nowMicros >= machine.slowStartUntilMicros() + windowMicros) {
            return true;
        }
        long firstEventMicros = context.firstEventMicros();
        if (nowMicros < firstEventMicros + spanMicros
                && machine.entry().startedAtMicros() < firstEventMicros) {
            return false;
        }
        double share = SPENT_SHARE * settings.rules().slowStartOffers() / settings.instanceCount();
        if (share >= 1) {
            return recentOffers.size() + 1 <= share;
        }
        return recentOffers.isEmpty() && isInSlot(machine, windowMicros);
    }

    private boolean isInSlot(TrackedMachine machine, long windowMicros) {
        double slotIntervalMicros =
                (1 + SLOT_WINDOWS)
                        * windowMicros
                        / Math.max(1, settings.rules().slowStartOffers() - 1);
        int instanceCount = settings.instanceCount();
        int slot = Math.floorMod(settings.instanceIndex() + machine.id().hashCode(), instanceCount);
        double sinceSlotStartMicros =
                Math.floorMod(
                        context.nowMicros() - (long) (slot * slotIntervalMicros),
                        (long) (instanceCount * slotIntervalMicros));
        return sinceSlotStartMicros < SLOT_WINDOWS * windowMicros;
    }
}
