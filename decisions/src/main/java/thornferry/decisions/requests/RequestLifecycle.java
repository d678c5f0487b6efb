package thornferry.decisions.requests;

import java.util.function.Consumer;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.requests.RequestTracker.Abandon;
import thornferry.decisions.requests.RequestTracker.Action;
import thornferry.decisions.requests.RequestTracker.Dispatch;
import thornferry.decisions.requests.RequestTracker.Limits;
import thornferry.decisions.requests.RequestTracker.Notify;
import thornferry.decisions.requests.RequestTracker.RequestCompleted;
import thornferry.decisions.requests.RequestTracker.TaskFinished;

/**
 * Performs the state transitions of requests, with the notifications and actions that they entail.
 */
final class RequestLifecycle {
    /**
     * The policy normally completes a request by its deadline. A dispatched request fails if it has
     * no result this long after its deadline. A deferred request fails if it is not dispatched this
     * long before its deadline.
     */
    static final long DEADLINE_GRACE_MICROS = 2_000;

    private final int maxRetained;
    private final RequestIndex index;
    private final StartupSettling settling;
    private final PendingNotifications notifications;
    private final RetainedResults retainedResults;
    private final DroppedResults droppedResults = new DroppedResults();
    private final RequestDeadlines deadlines = new RequestDeadlines();
    private int pendingCount;

    RequestLifecycle(
            Limits limits,
            RequestIndex index,
            StartupSettling settling,
            PendingNotifications notifications) {
        this.maxRetained = limits.maxRetained();
        this.index = index;
        this.settling = settling;
        this.notifications = notifications;
        this.retainedResults = new RetainedResults(limits.retentionMicros());
    }

    // ---- transitions ----
    /** Discards the notifications and the retained result of the task's previous request. */
    void discardPrevious(RequestEntry entry) {
        // otherwise an undelivered result could be taken for the result of the new request
        notifications.discard(entry.result());
        notifications.discard(entry.termination());
        retainedResults.remove(entry);
    }

    /** Accepts a request that waits for the end of the settling time, or for proof. */
    void defer(RequestEntry entry, boolean awaitsProof) {
        pendingCount++;
        entry.clearLastRejection();
        entry.defer(awaitsProof ? RequestState.AWAITING_PROOF : RequestState.SETTLING);
        settling.add(entry);
    }

    /** Accepts a request and gives it to the policy at once. */
    void accept(long now, RequestEntry entry, Consumer<Action> actions) {
        pendingCount++;
        entry.clearLastRejection();
        dispatch(now, entry, actions);
    }

    /** Gives a deferred request to the policy. */
    void dispatchDeferred(long now, RequestEntry entry, Consumer<Action> actions) {
        settling.remove(entry);
        dispatch(now, entry, actions);
    }

    private void dispatch(long now, RequestEntry entry, Consumer<Action> actions) {
        boolean retry = entry.dispatch();
        index.removeRequestId(entry);
        index.assignRequestId(entry);
        deadlines.add(entry, entry.deadlineMicros() + DEADLINE_GRACE_MICROS);
        long maxWaitMicros = Math.max(0, entry.deadlineMicros() - now);
        actions.accept(
                new Dispatch(
                        placementRequest(entry, entry.spec(), entry.tenant(), maxWaitMicros, retry),
                        entry.owner(),
                        entry.spec(),
                        entry.taskClass().priorityWeight(),
                        entry.deadlineMicros(),
                        entry.lastRejectedBy()));
    }

    /** Returns the request in the form that the placement policy receives. */
    static PlacementRequest placementRequest(
            RequestEntry entry, TaskSpec spec, String tenant, long maxWaitMicros, boolean retry) {
        return new PlacementRequest(
                entry.requestId(),
                entry.taskClass().name(),
                tenant,
                entry.key(),
                maxWaitMicros,
                spec.expectedRunMicros(),
                spec.service(),
                spec.cores(),
                spec.memory(),
                retry);
    }

    /** Completes the request with its result and notifies the owner. */
    void complete(long now, RequestEntry entry, RequestOutcome outcome, Consumer<Action> actions) {
        if (entry.isPending()) {
            pendingCount--;
        }
        settling.remove(entry);
        entry.complete(notifications.createResult(entry, outcome, false));
        if (outcome.result() != RequestResult.PLACED) {
            retainedResults.retain(now, entry);
        }
        OwnedTask task = new OwnedTask(entry.owner(), entry.tenant(), entry.spec());
        actions.accept(completedAction(entry, entry.requestId(), task, outcome));
        deliver(entry.result(), actions);
    }

    static RequestCompleted completedAction(
            RequestEntry entry, String requestId, OwnedTask task, RequestOutcome outcome) {
        return new RequestCompleted(
                requestId,
                task.owner(),
                task.tenant(),
                task.spec(),
                entry.idempotency(),
                outcome.result(),
                outcome.machine(),
                outcome.reason());
    }

    /** Records the termination of the placed task and notifies the owner. */
    void finish(
            long now,
            RequestEntry entry,
            String machine,
            TerminationCause cause,
            Consumer<Action> actions) {
        entry.finish(notifications.createTermination(entry, machine, cause, false));
        actions.accept(
                new TaskFinished(
                        entry.requestId(),
                        entry.owner(),
                        entry.spec().id(),
                        entry.idempotency(),
                        cause));
        deliver(entry.termination(), actions);
        retainedResults.retain(now, entry);
    }

    /** Abandons the request at the policy. The caller completes the request next. */
    void abandon(RequestEntry entry, Consumer<Action> actions) {
        settling.remove(entry);
        if (entry.requestId() != null) {
            actions.accept(new Abandon(entry.requestId(), TerminationCause.STOPPED));
        }
    }

    // ---- notifications ----
    /**
     * Delivers the notification of the result again, and that of the termination if there is one.
     */
    void repeatNotifications(RequestEntry entry, Consumer<Action> actions) {
        ResultNotification result = deliverAgain(entry.result(), actions);
        entry.replaceNotifications(result, deliverAgain(entry.termination(), actions));
    }

    private ResultNotification deliverAgain(ResultNotification original, Consumer<Action> actions) {
        if (original == null) {
            return null;
        }
        notifications.discard(original);
        ResultNotification repeated = notifications.createRepeated(original);
        deliver(repeated, actions);
        return repeated;
    }

    private void deliver(ResultNotification notification, Consumer<Action> actions) {
        notifications.add(notification);
        actions.accept(new Notify(notification));
    }

    // ---- time ----
    /**
     * Dispatches deferred requests that need not wait any more; fails those that waited too long.
     */
    void tickDeferred(long now, Consumer<Action> actions) {
        for (RequestEntry entry : settling.deferredRequests()) {
            boolean awaitsProof = entry.state() == RequestState.AWAITING_PROOF;
            if (settling.isOver(now) && !awaitsProof) {
                dispatchDeferred(now, entry, actions);
            } else if (now >= entry.deadlineMicros() - DEADLINE_GRACE_MICROS) {
                // not REJECTED, after which a retry is harmless: whether the task ran is unknown
                String reason =
                        awaitsProof
                                ? RequestMessages.MAY_HAVE_RUN_MACHINE_ABSENT
                                : RequestMessages.JUST_STARTED;
                complete(now, entry, RequestOutcome.failed(reason), actions);
            }
        }
    }

    /** Abandons and fails the requests that the policy has not completed in time. */
    void tickDeadlines(long now, Consumer<Action> actions) {
        for (RequestEntry entry = deadlines.pollMissed(now);
                entry != null;
                entry = deadlines.pollMissed(now)) {
            abandon(entry, actions);
            complete(now, entry, RequestOutcome.failed(RequestMessages.NO_ANSWER_IN_TIME), actions);
        }
    }

    // ---- retention ----
    void retain(long now, RequestEntry entry) {
        retainedResults.retain(now, entry);
    }

    void removeRetained(RequestEntry entry) {
        retainedResults.remove(entry);
    }

    /**
     * Returns whether the result of the task was dropped early, so that it must not start again.
     */
    boolean wasDropped(long now, String taskKey) {
        return droppedResults.contains(now, taskKey);
    }

    /** Removes results whose retention time is over, and the oldest ones if there are too many. */
    void expireResults(long now) {
        for (RequestEntry oldest = retainedResults.oldest();
                oldest != null;
                oldest = retainedResults.oldest()) {
            boolean expired = now >= oldest.expiresAtMicros();
            if (!expired && index.size() <= maxRetained) {
                break;
            }
            retainedResults.remove(oldest);
            remove(oldest, expired);
        }
        droppedResults.removeExpired(now);
    }

    private void remove(RequestEntry entry, boolean expired) {
        index.remove(entry);
        // an owner who subscribes later does not receive results that are no longer retained
        notifications.discard(entry.result());
        notifications.discard(entry.termination());
        if (!expired && entry.state() != RequestState.REJECTED) {
            droppedResults.add(entry.key(), entry.expiresAtMicros());
        }
    }

    /** Returns the number of accepted requests without a result. */
    int pendingCount() {
        return pendingCount;
    }
}
