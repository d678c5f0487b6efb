package thornferry.decisions.placement;

import java.util.ArrayDeque;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Slow start: limits the offers that all placers together send to a machine that has started
 * recently.
 *
 * <p>The budget of a machine is the number of offers that it may get from all placers in one
 * window. If this placer's share of the budget is at least one offer, the placer sends no more than
 * its share within the counting span. If the share is smaller, placers send in time slots of a
 * clock that all of them share. The slots for one machine begin 1.5 windows / (budget - 1) apart
 * and last half a window, so that the number of slots that overlap any one window is at most the
 * budget. The previous incarnation of this placer is assumed to have used its whole share.
 */
final class SlowStartLimiter {
    /** The fraction of its share that a placer uses. */
    private static final double USED_SHARE = 0.8;

    /**
     * The span in which offers are counted, in windows. It exceeds one window because the network
     * delay differs between offers, so that an earlier offer may arrive later.
     */
    private static final double COUNTING_SPAN_WINDOWS = 1.25;

    /** The length of the slot in which a placer may send one offer, in windows. */
    private static final double SLOT_WINDOWS = 0.5;

    private final Settings settings;
    private final EventContext context;

    SlowStartLimiter(Settings settings, EventContext context) {
        this.settings = settings;
        this.context = context;
    }

    /** Returns whether slow start allows an offer to the machine now. */
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
        double share = USED_SHARE * settings.rules().slowStartOffers() / settings.instanceCount();
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
