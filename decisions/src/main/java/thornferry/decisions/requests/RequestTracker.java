package thornferry.decisions.requests;

import java.util.List;
import java.util.function.Consumer;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskClass;

/**
 * Tracks the placement requests of owners. Each request is given to the placement policy and has
 * exactly one result, of which its owner is notified.
 *
 * <p>A task is identified by its owner and the id that the owner gave it, so that the tasks of
 * different owners cannot be confused and owners cannot learn of each other's tasks. A repeated
 * request has no effect while the first is pending. After {@code PLACED} or {@code FAILED}, it
 * receives the retained result. After {@code REJECTED}, which means that a retry is harmless, it is
 * a new request. A notification that cannot be delivered waits until its owner subscribes.
 *
 * <p>All times are microseconds of the caller's clock; the class does no I/O. Methods ignore
 * request ids that are unknown or whose request already has its result, as events may arrive late.
 */
public final class RequestTracker {
    /**
     * The limits of requests.
     *
     * @param maxPending the maximum number of accepted requests without a result; beyond it,
     *     requests are rejected
     * @param maxRetained the maximum number of known tasks, with or without a result; beyond it,
     *     the oldest retained results are dropped
     * @param retentionMicros the time for which a result is retained, from the result or, for a
     *     placed task, from its termination
     * @param maxWaitMicros the maximum wait of a request for its result; a longer wait is reduced
     *     to this
     * @param settleMicros the settling time after the start, in which requests for non-idempotent
     *     tasks wait for machines to report their running and ended tasks; 0 if a complete journal
     *     records what earlier incarnations offered
     * @param minRetryAfterMicros the first backoff of a task after a rejection; doubles with each
     *     further dispatch of the task
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
                        "request limit " + field + " must be at least " + min + ", is " + value);
            }
        }

        /** Returns the same limits without the settling time after the start. */
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

    /** An action for the caller, to be carried out in the order of receipt. */
    public sealed interface Action {}

    /**
     * A request was submitted. Its result, or its dispatch, may follow at once.
     *
     * @param idempotentWithKey whether the task is idempotent with a key
     * @param deferred whether the request is deferred, for the settling time or for proof
     * @param awaitsProof whether the request waits for proof, as the task may have run in an
     *     earlier incarnation
     */
    public record RequestSubmitted(
            String owner,
            String tenant,
            TaskSpec spec,
            boolean idempotentWithKey,
            boolean deferred,
            boolean awaitsProof)
            implements Action {}

    /**
     * Puts the request into the admission queue.
     *
     * @param deadlineMicros the time by which the task must be placed
     * @param lastRejectedBy the machine that last rejected the task, empty for none
     */
    public record Dispatch(
            PlacementRequest request,
            String owner,
            TaskSpec spec,
            double priorityWeight,
            long deadlineMicros,
            String lastRejectedBy)
            implements Action {}

    /**
     * The request has its result. This action precedes the {@link Notify} action for it.
     *
     * @param requestId the id of the request, null if it was never dispatched
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
     * The placed task has terminated. This action precedes the {@link Notify} action for it.
     *
     * @param requestId the id of the request, null if this incarnation did not track the task
     */
    public record TaskFinished(
            String requestId,
            String owner,
            String task,
            Idempotency idempotency,
            TerminationCause terminationCause)
            implements Action {}

    /** Notifies the owner. The caller calls {@link #delivered} once the owner has received it. */
    public record Notify(ResultNotification notification) implements Action {}

    /**
     * Notifies the policy that the request is abandoned, and cancels its attempt if there is one.
     */
    public record Abandon(String requestId, TerminationCause terminationCause) implements Action {}

    /**
     * The details of a request that an offer to a machine contains.
     *
     * @param attemptNumber the number of the offer, from 0
     */
    public record OfferDetails(
            String owner, TaskSpec spec, Idempotency idempotency, int attemptNumber) {}

    private final RequestIndex index = new RequestIndex();
    private final PendingNotifications notifications = new PendingNotifications();
    private final StartupSettling settling;
    private final RetryBackoff backoff;
    private final RequestLifecycle lifecycle;
    private final RequestSubmission submission;
    private final RecoveredTasks recoveredTasks;

    /**
     * Creates a tracker without requests.
     *
     * @param seed the seed of the random jitter of retry-after
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
     * Submits a request for a task that no earlier incarnation can have started.
     *
     * @see #submit(long, String, String, TaskSpec, Uncertainty, Consumer)
     */
    public void submit(
            long now, String owner, String tenant, TaskSpec spec, Consumer<Action> actions)
            throws InvalidRequestException {
        submit(now, owner, tenant, spec, Uncertainty.NONE, actions);
    }

    /**
     * Submits the request of an owner for a task. Once this method returns, the request has its
     * result or will have it.
     *
     * @param uncertainty whether the task may have run in an earlier incarnation of this placer; a
     *     request that awaits proof waits for {@link #provenNotRun}, {@link #finishedEarlier},
     *     {@link #adopt} or {@link #mayHaveRun}, and fails at its deadline
     * @throws InvalidRequestException if the request is invalid; it then has no effect
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
     * Stops a task of an owner: a pending request fails, a placed task is cancelled.
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
            default -> throw new InvalidRequestException(RequestMessages.noTaskToStop(task));
        }
    }

    /**
     * Rejects requests for tasks that are non-idempotent or idempotent with a key from now on, with
     * this reason, because no journal record can be written for them. An empty reason accepts them
     * again.
     */
    public void setJournalUnavailable(String reason) {
        submission.setUnavailable(reason);
    }

    // ---- results ----
    /** Returns the details of the next offer, or null if the request is not pending any more. */
    public OfferDetails nextOffer(String requestId) {
        RequestEntry entry = findPending(requestId);
        return entry == null ? null : entry.nextOffer();
    }

    /** Records that a machine rejected an offer, which may become the reason of the result. */
    public void offerRejected(String requestId, String machine, OutcomeReason reason) {
        RequestEntry entry = index.findByRequestId(requestId);
        if (entry != null) {
            entry.offerRejected(machine, reason);
        }
    }

    /**
     * Rejects a request by decision of the policy; the owner may retry.
     *
     * @param retryAfterMicros how long the owner should wait before a retry, 0 for the usual
     *     backoff
     * @param reason a sentence for the owner, empty if not known
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
     * Rejects a request that the admission queue sheds. The owner may retry after {@code
     * retryAfterMicros}, or after the backoff of the task if that is longer.
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

    /** Fails a request, by decision of the policy or after a fault; the task may have run. */
    public void failed(long now, String requestId, String reason, Consumer<Action> actions) {
        RequestEntry entry = findPending(requestId);
        if (entry != null) {
            String lastRejection = entry.lastRejection();
            String fullReason = lastRejection.isEmpty() ? reason : reason + "; " + lastRejection;
            lifecycle.complete(now, entry, RequestOutcome.failed(fullReason), actions);
        }
    }

    /** Completes a request whose task a machine accepted. */
    public void placed(long now, String requestId, String machine, Consumer<Action> actions) {
        RequestEntry entry = findPending(requestId);
        if (entry != null) {
            lifecycle.complete(now, entry, RequestOutcome.placed(machine), actions);
        }
    }

    /** Records the termination of a placed task. */
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

    /** Returns the owner and the task of a request, or null if the request is not known. */
    public OfferDetails offerDetails(String requestId) {
        RequestEntry entry = index.findByRequestId(requestId);
        return entry == null ? null : entry.offerDetails();
    }

    // ---- tasks of earlier incarnations ----
    /**
     * Retains a result that an earlier incarnation gave.
     *
     * @param cause how the placed task terminated, or null if it may still run
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

    /**
     * Records proof that no attempt of an earlier incarnation ran, so that a request for the task
     * need not wait for it.
     */
    public void provenNotRun(long now, String owner, String task, Consumer<Action> actions) {
        recoveredTasks.provenNotRun(now, TaskKey.of(owner, task), actions);
    }

    /**
     * Records that an earlier incarnation placed the task on this machine and that the task has
     * terminated. This completes a request that waits for the task.
     *
     * @param alreadyNotified whether the owner may have been notified before; if so, and no request
     *     waits for the task, its termination is retained without a notification
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
     * Records that an earlier incarnation started the task or may have started it, and that no more
     * can be proven. A request that waits for the task fails with this reason.
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
     * Records that the machine that may have run the task can no longer prove whether it did. A
     * request that waits for this proof fails; otherwise, nothing changes.
     */
    public void becameIndeterminate(
            long now, String owner, String task, String machine, Consumer<Action> actions) {
        recoveredTasks.becameIndeterminate(now, TaskKey.of(owner, task), machine, actions);
    }

    /**
     * Adopts a task of an earlier incarnation of this placer that a machine has. A request that was
     * submitted for the task in the meantime is abandoned at the policy and completed as placed.
     *
     * @return the request under which the policy tracks the task, or null if the task must not be
     *     adopted and this copy must be cancelled, for example because it runs on another machine
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
    /** Records that the owner has received the notification. */
    public void delivered(String owner, long sequence) {
        notifications.delivered(owner, sequence);
    }

    /** Returns the notifications that the owner has not received, oldest first. */
    public List<ResultNotification> undelivered(String owner) {
        return notifications.undelivered(owner);
    }

    // ---- time ----
    /**
     * Dispatches deferred requests, fails requests that are late, and removes expired results. To
     * be called several times a second.
     */
    public void tick(long now, Consumer<Action> actions) {
        settling.observe(now);
        lifecycle.tickDeferred(now, actions);
        lifecycle.tickDeadlines(now, actions);
        lifecycle.expireResults(now);
    }

    // ---- queries ----
    /** Returns the number of accepted requests without a result. */
    public int pendingCount() {
        return lifecycle.pendingCount();
    }

    /** Returns the number of known tasks: pending, placed, or with a retained result. */
    public int taskCount() {
        return index.size();
    }
}
