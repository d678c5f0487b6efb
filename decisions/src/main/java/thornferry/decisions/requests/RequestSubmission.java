package thornferry.decisions.requests;

import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.requests.RequestTracker.Action;
import thornferry.decisions.requests.RequestTracker.Limits;
import thornferry.decisions.requests.RequestTracker.RequestWaiting;

/**
 * What becomes of a submitted request: an error, a retained result, an immediate result, or
 * acceptance.
 */
final class RequestSubmission {
    private final Limits limits;
    private final RequestValidator validator;
    private final RequestIndex index;
    private final RequestLifecycle lifecycle;
    private final StartupSettling settling;
    private final RetryBackoff backoff;
    private String unavailableReason = ""; // empty while durable records can be written

    RequestSubmission(
            Limits limits,
            RequestValidator validator,
            RequestIndex index,
            RequestLifecycle lifecycle,
            StartupSettling settling,
            RetryBackoff backoff) {
        this.limits = limits;
        this.validator = validator;
        this.index = index;
        this.lifecycle = lifecycle;
        this.settling = settling;
        this.backoff = backoff;
    }

    /** See {@link RequestTracker#setUnavailable}. */
    void setUnavailable(String reason) {
        unavailableReason = reason;
    }

    /** See {@link RequestTracker#submit(long, String, String, TaskSpec, Uncertainty, Consumer)}. */
    void submit(long now, OwnedTask task, Uncertainty uncertainty, Consumer<Action> actions)
            throws InvalidRequestException {
        TaskSpec spec = task.spec();
        TaskClass taskClass = validator.validate(spec);
        settling.observe(now);
        RequestEntry entry = index.find(task.key());
        if (entry == null) {
            entry = new RequestEntry(task, taskClass);
            index.put(entry);
            if (lifecycle.wasDropped(now, entry.key())) {
                RequestOutcome failed = RequestOutcome.failed(RequestMessages.RESULT_DROPPED);
                lifecycle.complete(now, entry, failed, actions);
                return;
            }
        } else if (!entry.spec().sameShape(spec)) {
            throw new InvalidRequestException(RequestMessages.differentShape(spec.id()));
        } else if (!entry.mayBeResubmitted()) {
            if (!entry.isPending()) {
                lifecycle.repeatNotifications(entry, actions);
            }
            return;
        }
        lifecycle.supersede(entry);
        entry.submit(spec, now + maxWaitMicros(spec, taskClass));
        start(now, entry, task.tenant(), uncertainty, actions);
    }

    private long maxWaitMicros(TaskSpec spec, TaskClass taskClass) {
        long requestedMicros =
                spec.maxWaitMicros() == null ? taskClass.deadlineMicros() : spec.maxWaitMicros();
        return Math.min(limits.maxWaitMicros(), requestedMicros);
    }

    private void start(
            long now,
            RequestEntry entry,
            String tenant,
            Uncertainty uncertainty,
            Consumer<Action> actions) {
        boolean awaitsProof = uncertainty == Uncertainty.PENDING_PROOF;
        // without the wait a task could start twice: after a restart of the placer it may be
        // running, and its machine reports that soon
        boolean settles =
                !settling.isOver(now) && entry.idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean deferred = awaitsProof || settles;
        actions.accept(
                new RequestWaiting(
                        entry.owner(),
                        tenant,
                        entry.spec(),
                        entry.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY,
                        deferred,
                        awaitsProof));
        Optional<RequestOutcome> immediate = immediateOutcome(entry, uncertainty);
        if (immediate.isPresent()) {
            lifecycle.complete(now, entry, immediate.get(), actions);
        } else if (deferred) {
            lifecycle.defer(entry, awaitsProof);
        } else {
            lifecycle.accept(now, entry, actions);
        }
    }

    /** The outcome of a request that is not accepted. */
    private Optional<RequestOutcome> immediateOutcome(RequestEntry entry, Uncertainty uncertainty) {
        if (lifecycle.pendingCount() >= limits.maxPending()) {
            String reason = RequestMessages.tooManyPending(limits.maxPending());
            return Optional.of(backoff.rejection(entry, reason));
        }
        if (uncertainty == Uncertainty.MAY_HAVE_RUN) {
            return Optional.of(RequestOutcome.failed(RequestMessages.MAY_HAVE_RUN));
        }
        if (!unavailableReason.isEmpty() && entry.idempotency() != Idempotency.IDEMPOTENT) {
            return Optional.of(backoff.rejection(entry, unavailableReason));
        }
        return Optional.empty();
    }
}
