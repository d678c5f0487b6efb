package thornferry.decisions.admission;

import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.admission.AdmissionQueue.Action;

/** Fills the dispatch window from the queue, and recalls what the policy cannot place. */
final class Dispatcher {
    private final QueueIndex index;
    private final QuotaChecker quotas;
    private final FairShare fairShare;
    private final CapacityReservation reservation;
    private final DispatchWindow window;
    private final BackoffQueue backoff;
    private final OverloadController overload;
    private boolean dispatching;

    Dispatcher(
            QueueIndex index,
            QuotaChecker quotas,
            FairShare fairShare,
            CapacityReservation reservation,
            DispatchWindow window,
            BackoffQueue backoff,
            OverloadController overload) {
        this.index = index;
        this.quotas = quotas;
        this.fairShare = fairShare;
        this.reservation = reservation;
        this.window = window;
        this.backoff = backoff;
        this.overload = overload;
    }

    /**
     * Dispatches what may be dispatched now. The receiver of an action may call the queue again
     * before it returns: such a call leaves the dispatching to this one, and each step here selects
     * anew.
     */
    void dispatchReady(long nowMicros, Consumer<Action> actions) {
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (Optional<QueueEntry> next = next(nowMicros);
                    next.isPresent();
                    next = next(nowMicros)) {
                QueueEntry entry = next.get();
                index.dequeue(nowMicros, entry);
                index.removeWaiting(entry);
                dispatch(nowMicros, entry, actions);
            }
            recheck(nowMicros, actions);
        } finally {
            dispatching = false;
        }
    }

    private Optional<QueueEntry> next(long nowMicros) {
        if (window.isFull()) {
            return Optional.empty();
        }
        return fairShare.selectNext(
                entry ->
                        quotas.sharedBlock(nowMicros, entry) == null
                                && !reservation.holdsBack(nowMicros, entry));
    }

    /**
     * Dispatches requests whose backoff ended. They get at most half of the window, so that
     * requests that no machine has capacity for do not delay others.
     */
    private void recheck(long nowMicros, Consumer<Action> actions) {
        for (QueueEntry entry : backoff.dueForRecheck()) {
            if (window.hasMaxRechecks() || window.isFull()) {
                break;
            }
            // an action may have removed it meanwhile
            if (backoff.isDueForRecheck(entry)
                    && quotas.block(nowMicros, entry) == null
                    && !reservation.holdsBack(nowMicros, entry)) {
                backoff.remove(entry);
                index.removeWaiting(entry);
                window.markRecheck(entry);
                dispatch(nowMicros, entry, actions);
            }
        }
    }

    /** Hands a request to the policy; it must not be in the queue or back off any more. */
    void dispatch(long nowMicros, QueueEntry entry, Consumer<Action> actions) {
        boolean firstDispatch = !entry.wasDispatched();
        window.add(nowMicros, entry);
        index.addActive(entry);
        if (firstDispatch) {
            overload.recordWait(entry.waitedFraction(nowMicros));
            quotas.recordFirstDispatch(nowMicros, entry);
        }
        index.refresh(nowMicros, entry.owner());
        long maxWaitMicros = Math.max(0, entry.request().remainingMicros(nowMicros));
        actions.accept(new AdmissionQueue.Dispatch(entry.requestId(), maxWaitMicros));
    }

    /**
     * Recalls requests that the policy has held for long, if they fill the window while others
     * wait; otherwise a window full of requests without capacity would block requests that have it.
     * What was ever offered to a machine stays, because the policy knows of its attempts.
     */
    void recallStalled(long nowMicros, Consumer<Action> actions) {
        if (!window.isFull() || index.site().waitingTasks() == 0) {
            return;
        }
        for (QueueEntry entry : window.entries()) {
            if (!window.isStalled(nowMicros, entry)) {
                break; // those after it were dispatched later
            }
            if (!entry.wasOffered() && hasTimeForBackoff(nowMicros, entry)) {
                recall(nowMicros, entry, actions);
            }
        }
    }

    private static boolean hasTimeForBackoff(long nowMicros, QueueEntry entry) {
        return entry.request().remainingMicros(nowMicros) > 2 * QueueEntry.DISPATCH_MARGIN_MICROS;
    }

    private void recall(long nowMicros, QueueEntry entry, Consumer<Action> actions) {
        window.remove(entry);
        index.removeActive(entry);
        index.addWaiting(entry);
        backoff.backOffForCapacity(nowMicros, entry);
        index.refresh(nowMicros, entry.owner());
        actions.accept(new AdmissionQueue.Recall(entry.requestId()));
    }
}
