package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.ListUpdateKind;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.Subscribe;

/** Keeps the subscription to the endpoint list active, with exponential backoff after failures. */
final class ListSubscription {
    /**
     * The backoff after the first failure. It doubles up to the maximum, which is well below the
     * age that a list may have.
     */
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

    /** Returns whether there is a subscription that has not failed; false if none is needed. */
    boolean isActive() {
        return active;
    }

    /**
     * Updates the state of the subscription by the kind of a list message. A message of kind FAILED
     * may report the loss of the subscription, so the subscription is renewed; otherwise the list
     * would become stale without notice.
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

    /**
     * Subscribes if a subscription is needed and due. The subscription counts as active until it
     * fails.
     */
    void renewIfDue() {
        if (settings.listNeedsSubscription()
                && !active
                && context.nowMicros() >= renewalDueMicros) {
            active = true;
            context.emit(new Subscribe(true));
        }
    }
}
