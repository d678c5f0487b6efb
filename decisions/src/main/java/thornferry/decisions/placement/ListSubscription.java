package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.Subscribe;

/** Keeps the subscription to the endpoint list alive, with exponential backoff after failures. */
final class ListSubscription {
    /** Backoff after a failure; it doubles up to the maximum, well below the age lists may have. */
    private static final long MIN_BACKOFF_MICROS = 300 * Micros.MILLISECOND;

    private static final long MAX_BACKOFF_MICROS = 2 * Micros.SECOND;

    private final Settings settings;
    private final EventContext context;
    private boolean active;
    private long renewalDueMicros = Long.MIN_VALUE;
    private long backoffMicros = MIN_BACKOFF_MICROS;

    ListSubscription(Settings settings, EventContext context) {
        this.settings = settings;
        this.context = context;
    }

    /** Whether there is a subscription that has not failed; false where none is needed. */
    boolean isActive() {
        return active;
    }

    /**
     * Takes the kind of a list message. Any failed call may have been the subscription; without
     * renewing it then, the list would silently grow stale.
     */
    void update(ListUpdateKind kind) {
        if (kind == ListUpdateKind.FAILED) {
            active = false;
            renewalDueMicros = context.nowMicros() + backoffMicros;
            backoffMicros = Math.min(MAX_BACKOFF_MICROS, backoffMicros * 2);
        } else if (kind != ListUpdateKind.CACHED) {
            backoffMicros = MIN_BACKOFF_MICROS;
        } else if (settings.listNeedsSubscription()) {
            renewalDueMicros = context.nowMicros();
            renewIfDue();
        }
    }

    /** Subscribes if that is needed and due; the subscription counts as active until it fails. */
    void renewIfDue() {
        if (settings.listNeedsSubscription()
                && !active
                && context.nowMicros() >= renewalDueMicros) {
            active = true;
            context.emit(new Subscribe(true));
        }
    }
}
