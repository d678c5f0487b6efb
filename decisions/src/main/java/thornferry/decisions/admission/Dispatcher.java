package thornferry.decisions.admission;

import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.admission.AdmissionQueue.Action;

/**
 * Fills the dispatch window from the queue, and recalls requests that the policy does not place.
 */
final class Dispatcher {
    private final QueueIndex index;
    private final QuotaChecker quotas;
    private final FairShare fairShare;
    private final CapacityReservation reservation;
    private final DispatchWindow window;
    private final BackoffQueue backoff;
    private final OverloadController overload;
    private boolean isDispatching;

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
     * Dispatches every request that may be dispatched now. The consumer of an action may call the
     * queue again before it returns. Such a nested call dispatches nothing itself; the outer call
     * covers it, because each step selects the next request from the current state.
     */
    void dispatchReady(long nowMicros, Consumer<Action> actions) {
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        try {
            for (Optional<QueueEntry> next = selectNext(nowMicros);
                    next.isPresent();
                    next = selectNext(nowMicros)) {
                QueueEntry entry = next.get();
                index.dequeue(nowMicros, entry);
                index.removeWaiting(entry);
                dispatch(nowMicros, entry, actions);
            }
            dispatchRechecks(nowMicros, actions);
        } finally {
            isDispatching = false;
        }
    }

    private Optional<QueueEntry> selectNext(long nowMicros) {
        if (window.isFull()) {
            return Optional.empty();
        }
        return fairShare.selectNext(
                entry ->
                        quotas.findTenantOrSiteBlock(nowMicros, entry) == null
                                && !reservation.holdsBack(nowMicros, entry));
    }

    /**
     * Dispatches requests whose backoff ended. They take up at most half of the window, so that
     * requests without capacity do not delay others.
     */
    private void dispatchRechecks(long nowMicros, Consumer<Action> actions) {
        for (QueueEntry entry : backoff.dueForRecheck()) {
            if (window.isRecheckLimitReached() || window.isFull()) {
                break;
            }
            // the consumer of an action may have removed the entry
            if (backoff.isDueForRecheck(entry)
                    && quotas.findBlock(nowMicros, entry) == null
                    && !reservation.holdsBack(nowMicros, entry)) {
                backoff.remove(entry);
                index.removeWaiting(entry);
                window.markRecheck(entry);
                dispatch(nowMicros, entry, actions);
            }
        }
    }

    /**
     * Hands a request to the policy. The request must already have been removed from the queue and
     * the backoff queue.
     */
    void dispatch(long nowMicros, QueueEntry entry, Consumer<Action> actions) {
        boolean isFirstDispatch = !entry.wasDispatched();
        window.add(nowMicros, entry);
        index.addActive(entry);
        if (isFirstDispatch) {
            overload.recordWait(entry.waitedFraction(nowMicros));
            quotas.recordFirstDispatch(nowMicros, entry);
        }
        index.refresh(nowMicros, entry.owner());
        long maxWaitMicros = Math.max(0, entry.request().remainingMicros(nowMicros));
        actions.accept(new AdmissionQueue.Dispatch(entry.requestId(), maxWaitMicros));
    }

    /**
     * Recalls requests that the policy has held for a long time, if the window is full and others
     * wait; otherwise a window full of requests without capacity would block requests that could be
     * placed. A request that was ever offered to a machine is not recalled, because the policy
     * keeps the record of its attempts.
     */
    void recallStalled(long nowMicros, Consumer<Action> actions) {
        if (!window.isFull() || index.site().waitingTasks() == 0) {
            return;
        }
        for (QueueEntry entry : window.entries()) {
            if (!window.isStalled(nowMicros, entry)) {
                break; // the following entries were dispatched later
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
