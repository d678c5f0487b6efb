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

/** The state transitions of requests, and what each of them entails. */
final class RequestLifecycle {
    /**
     * The policy completes each request before its deadline. So long after it, or where it was not
     * dispatched so long before it, the request is completed in the policy's stead.
     */
    static final long DEADLINE_GRACE_MICROS = 2_000;

    private final int maxRetained;
    private final RequestIndex index;
    private final StartupSettling settling;
    private final PendingNotifications notifications;
    private final RetainedResults retained;
    private final DroppedResults dropped = new DroppedResults();
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
        this.retained = new RetainedResults(limits.retentionMicros());
    }

    // ---- transitions ----
    /** What is known of the task's former request is void, as a new one is submitted. */
    void supersede(RequestEntry entry) {
        // without this, an undelivered result could be taken for that of the new request
        notifications.discard(entry.result());
        notifications.discard(entry.termination());
        retained.release(entry);
    }

    /** Accepts a request that has to wait, for the settling after the start or for proof. */
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

    /** The request as the policy gets it. */
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

    /** Gives the request its result and notifies the owner. */
    void complete(long now, RequestEntry entry, RequestOutcome outcome, Consumer<Action> actions) {
        if (entry.isPending()) {
            pendingCount--;
        }
        settling.remove(entry);
        entry.complete(notifications.ofResult(entry, outcome, false));
        if (outcome.result() != RequestResult.PLACED) {
            retained.retain(now, entry);
        }
        OwnedTask task = new OwnedTask(entry.owner(), entry.tenant(), entry.spec());
        actions.accept(completed(entry, entry.requestId(), task, outcome));
        deliver(entry.result(), actions);
    }

    static RequestCompleted completed(
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

    /** The placed task has terminated: notifies the owner. */
    void finish(
            long now,
            RequestEntry entry,
            String machine,
            TerminationCause cause,
            Consumer<Action> actions) {
        entry.finish(notifications.ofTermination(entry, machine, cause, false));
        actions.accept(
                new TaskFinished(
                        entry.requestId(),
                        entry.owner(),
                        entry.spec().id(),
                        entry.idempotency(),
                        cause));
        deliver(entry.termination(), actions);
        retained.retain(now, entry);
    }

    /** Nobody waits for what the policy makes of the request; it is to be completed next. */
    void abandon(RequestEntry entry, Consumer<Action> actions) {
        settling.remove(entry);
        if (entry.requestId() != null) {
            actions.accept(new Abandon(entry.requestId(), TerminationCause.STOPPED));
        }
    }

    // ---- notifications ----
    /** Delivers the result, and the termination if there is one, again. */
    void repeatNotifications(RequestEntry entry, Consumer<Action> actions) {
        ResultNotification result = repeat(entry.result(), actions);
        entry.replaceNotifications(result, repeat(entry.termination(), actions));
    }

    private ResultNotification repeat(ResultNotification original, Consumer<Action> actions) {
        if (original == null) {
            return null;
        }
        notifications.discard(original);
        ResultNotification repeated = notifications.repeated(original);
        deliver(repeated, actions);
        return repeated;
    }

    private void deliver(ResultNotification notification, Consumer<Action> actions) {
        notifications.add(notification);
        actions.accept(new Notify(notification));
    }

    // ---- time ----
    /** Dispatches deferred requests when they may be, and completes those that waited too long. */
    void tickDeferred(long now, Consumer<Action> actions) {
        for (RequestEntry entry : settling.waiting()) {
            boolean awaitsProof = entry.state() == RequestState.AWAITING_PROOF;
            if (settling.isOver(now) && !awaitsProof) {
                dispatchDeferred(now, entry, actions);
            } else if (now >= entry.deadlineMicros() - DEADLINE_GRACE_MICROS) {
                // not REJECTED, which says that a retry is harmless: what ran is not known yet
                String reason =
                        awaitsProof
                                ? RequestMessages.MAY_HAVE_RUN_MACHINE_ABSENT
                                : RequestMessages.JUST_STARTED;
                complete(now, entry, RequestOutcome.failed(reason), actions);
            }
        }
    }

    /** Completes the requests that the policy has not completed in time. */
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
        retained.retain(now, entry);
    }

    void release(RequestEntry entry) {
        retained.release(entry);
    }

    /** Whether the result of the task was dropped early, so that it must not be started again. */
    boolean wasDropped(long now, String taskKey) {
        return dropped.contains(now, taskKey);
    }

    /** Forgets results whose retention time is over, and the oldest where there are too many. */
    void expireResults(long now) {
        for (RequestEntry oldest = retained.oldest(); oldest != null; oldest = retained.oldest()) {
            boolean expired = now >= oldest.expiresAtMicros();
            if (!expired && index.size() <= maxRetained) {
                break;
            }
            retained.release(oldest);
            forget(oldest, expired);
        }
        dropped.removeExpired(now);
    }

    private void forget(RequestEntry entry, boolean expired) {
        index.remove(entry);
        // not retained any longer, so not for an owner who subscribes later either
        notifications.discard(entry.result());
        notifications.discard(entry.termination());
        if (!expired && entry.state() != RequestState.REJECTED) {
            dropped.add(entry.key(), entry.expiresAtMicros());
        }
    }

    /** The number of accepted requests without a result. */
    int pendingCount() {
        return pendingCount;
    }
}
