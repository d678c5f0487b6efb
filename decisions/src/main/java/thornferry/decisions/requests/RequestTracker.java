package thornferry.decisions.requests;

import java.util.List;
import java.util.function.Consumer;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskClass;

/**
 * One result for each request: takes requests of owners, gives them to the placement policy, and
 * notifies owners.
 *
 * <p>A task is identified by its owner and the owner's own name for it, so that owners cannot
 * conflict by accident or learn of each other's tasks. A repeated request has no effect while the
 * first is pending; after {@code PLACED} or {@code FAILED} it is given the retained result; after
 * {@code REJECTED}, which says that a retry is harmless, it is a new request. A notification that
 * cannot be delivered waits until its owner subscribes.
 *
 * <p>All times are microseconds of the caller's clock; the class does no I/O. Methods ignore
 * request ids that are unknown or have their result already, as events may arrive late.
 */
public final class RequestTracker {
    /**
     * The limits of requests.
     *
     * @param maxPending tasks without a result at once; beyond it a request is rejected
     * @param maxRetained results and running tasks retained at once; beyond it the oldest results
     *     are dropped
     * @param retentionMicros how long a result is retained after the task has its result or, once
     *     placed, has terminated
     * @param maxWaitMicros the maximum wait of a request for its result; a longer one is reduced
     * @param settleMicros after the start, requests for non-idempotent tasks wait so long for
     *     machines to report what runs and ran; 0 where a complete journal says what earlier
     *     incarnations offered
     * @param minRetryAfterMicros the first retry-after of rejections; doubles with each rejection
     *     of the same task
     * @param maxRetryAfterMicros the maximum retry-after
     */
    public record Limits(
            int maxPending,
            int maxRetained,
            long retentionMicros,
            long maxWaitMicros,
            long settleMicros,
            long minRetryAfterMicros,
            long maxRetryAfterMicros) {
        public Limits {
            requireAtLeast(1, "maxPending", maxPending);
            requireAtLeast(1, "maxRetained", maxRetained);
            requireAtLeast(1, "retentionMicros", retentionMicros);
            requireAtLeast(1, "maxWaitMicros", maxWaitMicros);
            requireAtLeast(0, "settleMicros", settleMicros);
            requireAtLeast(1, "minRetryAfterMicros", minRetryAfterMicros);
            requireAtLeast(minRetryAfterMicros, "maxRetryAfterMicros", maxRetryAfterMicros);
        }

        private static void requireAtLeast(long min, String field, long value) {
            if (value < min) {
                throw new IllegalArgumentException(
                        "request limit " + field + " must be at least " + min + ": " + value);
            }
        }

        /** The same limits without the wait after the start. */
        public Limits withoutSettling() {
            return new Limits(
                    maxPending,
                    maxRetained,
                    retentionMicros,
                    maxWaitMicros,
                    0,
                    minRetryAfterMicros,
                    maxRetryAfterMicros);
        }
    }

    /** What the caller is to do; actions are to be carried out in the order in which they come. */
    public sealed interface Action {}

    /**
     * A request was submitted and is considered.
     *
     * @param keyed whether the task is idempotent by its key
     * @param settling whether it waits for machines to report what runs and ran
     * @param uncertain whether it waits because the task may have run in an earlier incarnation
     */
    public record RequestWaiting(
            String owner,
            String tenant,
            TaskSpec spec,
            boolean keyed,
            boolean settling,
            boolean uncertain)
            implements Action {}

    /**
     * Put the request into the admission queue.
     *
     * @param deadlineMicros it is to be placed before then
     * @param rejectedBy the machine that last rejected the task, empty for none
     */
    public record Dispatch(
            PlacementRequest request,
            String owner,
            TaskSpec spec,
            double priorityWeight,
            long deadlineMicros,
            String rejectedBy)
            implements Action {}

    /**
     * The request has its result; comes before its {@link Notify}.
     *
     * @param requestId null where the request was never dispatched
     */
    public record RequestCompleted(
            String requestId,
            String owner,
            String tenant,
            TaskSpec spec,
            Idempotency idempotency,
            RequestResult result,
            String machine,
            String reason)
            implements Action {}

    /**
     * The placed task has terminated; comes before its {@link Notify}.
     *
     * @param requestId null where this incarnation of the placer did not track the task
     */
    public record TaskFinished(
            String requestId,
            String owner,
            String task,
            Idempotency idempotency,
            TerminationCause terminationCause)
            implements Action {}

    /** Notify the owner; {@link #delivered} is to be called once that is done. */
    public record Notify(ResultNotification notification) implements Action {}

    /** Nobody waits for the request: notify the policy, and cancel its attempt if there is one. */
    public record Abandon(String requestId, TerminationCause terminationCause) implements Action {}

    /**
     * What is needed of a request to offer it to a machine.
     *
     * @param attempt the number of the offer, from 0
     */
    public record OfferDetails(String owner, TaskSpec spec, Idempotency idempotency, int attempt) {}

    private final RequestIndex index = new RequestIndex();
    private final PendingNotifications notifications = new PendingNotifications();
    private final StartupSettling settling;
    private final RetryBackoff backoff;
    private final RequestLifecycle lifecycle;
    private final RequestSubmission submission;
    private final RecoveredTasks recoveredTasks;

    /**
     * Starts without any request.
     *
     * @param seed for the jitter of retry-after
     */
    public RequestTracker(Limits limits, List<TaskClass> classes, long seed, long now) {
        RequestValidator validator = new RequestValidator(classes);
        this.settling = new StartupSettling(now, limits.settleMicros());
        this.backoff =
                new RetryBackoff(limits.minRetryAfterMicros(), limits.maxRetryAfterMicros(), seed);
        this.lifecycle = new RequestLifecycle(limits, index, settling, notifications);
        this.submission =
                new RequestSubmission(limits, validator, index, lifecycle, settling, backoff);
        this.recoveredTasks =
                new RecoveredTasks(validator, index, lifecycle, settling, notifications);
    }

    // ---- requests of owners ----
    /**
     * The same as {@link #submit(long, String, String, TaskSpec, Uncertainty, Consumer)} for a task
     * that no earlier incarnation can have started.
     */
    public void submit(
            long now, String owner, String tenant, TaskSpec spec, Consumer<Action> actions)
            throws InvalidRequestException {
        submit(now, owner, tenant, spec, Uncertainty.NONE, actions);
    }

    /**
     * An owner requests a task. Once this returns, the request has its result or will have it.
     *
     * @param uncertainty whether the task may have run in an earlier incarnation of this placer; a
     *     request that awaits proof waits for {@link #provenNotRun}, {@link #finishedEarlier},
     *     {@link #adopt} or {@link #mayHaveRun}, and fails at its deadline
     * @throws InvalidRequestException if it cannot be accepted; nothing has changed then
     */
    public void submit(
            long now,
            String owner,
            String tenant,
            TaskSpec spec,
            Uncertainty uncertainty,
            Consumer<Action> actions)
            throws InvalidRequestException {
        OwnedTask task = new OwnedTask(owner, tenant, spec);
        submission.submit(now, task, uncertainty, actions);
    }

    /**
     * An owner stops a task: a pending request fails, a placed task is cancelled.
     *
     * @throws InvalidRequestException if the owner has no such task that is pending or placed
     */
    public void stop(long now, String owner, String task, Consumer<Action> actions)
            throws InvalidRequestException {
        RequestEntry entry = index.find(TaskKey.of(owner, task));
        RequestState state = entry == null ? RequestState.NEW : entry.state();
        switch (state) {
            case SETTLING, AWAITING_PROOF, DISPATCHED -> {
                lifecycle.abandon(entry, actions);
                RequestOutcome failed = RequestOutcome.failed(RequestMessages.STOPPED_BY_OWNER);
                lifecycle.complete(now, entry, failed, actions);
            }
            case PLACED, PLACED_UNCONFIRMED ->
                    actions.accept(new Abandon(entry.requestId(), TerminationCause.STOPPED));
            default -> throw new InvalidRequestException(RequestMessages.nothingToStop(task));
        }
    }

    /**
     * Requests for tasks that are not idempotent are rejected with this reason from now on, as no
     * durable record can be written for them; empty to accept them again.
     */
    public void setUnavailable(String reason) {
        submission.setUnavailable(reason);
    }

    // ---- results ----
    /** The details for the next offer of the request, or null where it is not pending any more. */
    public OfferDetails nextOffer(String requestId) {
        RequestEntry entry = findPending(requestId);
        return entry == null ? null : entry.nextOffer();
    }

    /** A machine rejected an offer; retained as the reason of a result that may follow. */
    public void offerRejected(String requestId, String machine, OutcomeReason reason) {
        RequestEntry entry = index.findByRequestId(requestId);
        if (entry != null) {
            entry.offerRejected(machine, reason);
        }
    }

    /**
     * The policy rejects the request, which may be retried.
     *
     * @param retryAfterMicros how long the owner should wait before that, 0 for the usual backoff
     * @param reason a sentence for the owner, empty where not known
     */
    public void rejected(
            long now,
            String requestId,
            long retryAfterMicros,
            String reason,
            Consumer<Action> actions) {
        RequestEntry entry = findPending(requestId);
        if (entry == null) {
            return;
        }
        String knownReason = reason.isEmpty() ? entry.lastRejection() : reason;
        String givenReason = knownReason.isEmpty() ? RequestMessages.NO_CAPACITY : knownReason;
        RequestOutcome outcome =
                retryAfterMicros > 0
                        ? RequestOutcome.rejected(givenReason, backoff.bounded(retryAfterMicros))
                        : backoff.rejection(entry, givenReason);
        lifecycle.complete(now, entry, outcome, actions);
    }

    /**
     * The admission queue sheds the request, which may be retried after {@code retryAfterMicros},
     * or after its backoff if that is longer.
     */
    public void shed(
            long now,
            String requestId,
            String reason,
            long retryAfterMicros,
            Consumer<Action> actions) {
        RequestEntry entry = findPending(requestId);
        if (entry != null) {
            long delayMicros = backoff.drawAtLeastMicros(retryAfterMicros, entry.dispatchCount());
            RequestOutcome rejected = RequestOutcome.rejected(reason, delayMicros);
            lifecycle.complete(now, entry, rejected, actions);
        }
    }

    /** The request failed, by the policy's decision or a fault; the task may have run. */
    public void failed(long now, String requestId, String reason, Consumer<Action> actions) {
        RequestEntry entry = findPending(requestId);
        if (entry != null) {
            String lastRejection = entry.lastRejection();
            String fullReason = lastRejection.isEmpty() ? reason : reason + "; " + lastRejection;
            lifecycle.complete(now, entry, RequestOutcome.failed(fullReason), actions);
        }
    }

    /** A machine accepted the task. */
    public void placed(long now, String requestId, String machine, Consumer<Action> actions) {
        RequestEntry entry = findPending(requestId);
        if (entry != null) {
            lifecycle.complete(now, entry, RequestOutcome.placed(machine), actions);
        }
    }

    /** A placed task has terminated. */
    public void finished(
            long now,
            String requestId,
            String machine,
            TerminationCause cause,
            Consumer<Action> actions) {
        RequestEntry entry = index.findByRequestId(requestId);
        if (entry != null && entry.state() == RequestState.PLACED) {
            lifecycle.finish(now, entry, machine, cause, actions);
        }
    }

    private RequestEntry findPending(String requestId) {
        RequestEntry entry = index.findByRequestId(requestId);
        return entry == null || !entry.isPending() ? null : entry;
    }

    /** Whose request it is, and for which task; null where it is not known. */
    public OfferDetails offerDetails(String requestId) {
        RequestEntry entry = index.findByRequestId(requestId);
        return entry == null ? null : entry.offerDetails();
    }

    // ---- tasks of earlier incarnations ----
    /**
     * Retains a result of an earlier incarnation as if it were of this one.
     *
     * @param cause how the placed task terminated, or null where it may still run
     */
    public void restore(
            long now,
            OwnedTask task,
            RequestResult result,
            String machine,
            String reason,
            TerminationCause cause) {
        recoveredTasks.restore(now, task, new RequestOutcome(result, machine, reason, 0), cause);
    }

    /** It is proven that no attempt of an earlier incarnation ran: a waiting request goes on. */
    public void provenNotRun(long now, String owner, String task, Consumer<Action> actions) {
        recoveredTasks.provenNotRun(now, TaskKey.of(owner, task), actions);
    }

    /**
     * An earlier incarnation placed the task on this machine, and it has terminated: this completes
     * a request that waits for it.
     *
     * @param alreadyNotified its owner may have been notified before: where no request waits, it is
     *     retained without a notification
     */
    public void finishedEarlier(
            long now,
            OwnedTask task,
            String machine,
            TerminationCause cause,
            boolean alreadyNotified,
            Consumer<Action> actions) {
        recoveredTasks.finishedEarlier(now, task, machine, cause, alreadyNotified, actions);
    }

    /**
     * An earlier incarnation started the task, or may have, and nothing can prove more: a request
     * that waits for it fails with this reason.
     */
    public void mayHaveRun(
            long now,
            String owner,
            String tenant,
            TaskSpec spec,
            String reason,
            Consumer<Action> actions) {
        recoveredTasks.mayHaveRun(now, new OwnedTask(owner, tenant, spec), reason, actions);
    }

    /**
     * The machine that may have run the task cannot prove any more whether it did: a request that
     * waits for that proof fails. Nothing happens where none does.
     */
    public void becameIndeterminate(
            long now, String owner, String task, String machine, Consumer<Action> actions) {
        recoveredTasks.becameIndeterminate(now, TaskKey.of(owner, task), machine, actions);
    }

    /**
     * A task of an earlier incarnation of this placer was found on a machine: it belongs to this
     * owner and is placed. A request that was submitted for it meanwhile is abandoned, and
     * completed by this.
     *
     * @return the request under which the policy is to track it, or null where the task already
     *     runs elsewhere and this copy must be cancelled
     */
    public PlacementRequest adopt(
            long now,
            String owner,
            String tenant,
            TaskSpec spec,
            String machine,
            Consumer<Action> actions) {
        return recoveredTasks.adopt(now, new OwnedTask(owner, tenant, spec), machine, actions);
    }

    // ---- notifications ----
    /** The owner has received the notification. */
    public void delivered(String owner, long sequence) {
        notifications.delivered(owner, sequence);
    }

    /** The notifications that the owner has not received, oldest first: for a new subscription. */
    public List<ResultNotification> undelivered(String owner) {
        return notifications.undelivered(owner);
    }

    // ---- time ----
    /** Lets time pass; to be called several times a second. */
    public void tick(long now, Consumer<Action> actions) {
        settling.observe(now);
        lifecycle.tickDeferred(now, actions);
        lifecycle.tickDeadlines(now, actions);
        lifecycle.expireResults(now);
    }

    // ---- queries ----
    /** The number of accepted requests without a result. */
    public int pendingCount() {
        return lifecycle.pendingCount();
    }

    /** The number of tasks that are known: pending, running, or with a retained result. */
    public int taskCount() {
        return index.size();
    }
}
