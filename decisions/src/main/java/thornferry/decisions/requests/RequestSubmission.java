package thornferry.decisions.requests;

import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.requests.RequestTracker.Action;
import thornferry.decisions.requests.RequestTracker.Limits;
import thornferry.decisions.requests.RequestTracker.RequestSubmitted;

/**
 * Decides how a submitted request is answered: with an error, with a retained result, with an
 * immediate result, or by accepting it.
 */
final class RequestSubmission {
    private final Limits limits;
    private final RequestValidator validator;
    private final RequestIndex index;
    private final RequestLifecycle lifecycle;
    private final StartupSettling settling;
    private final RetryBackoff backoff;
    private String unavailableReason = ""; // empty while journal records can be written

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

    /** See {@link RequestTracker#setJournalUnavailable}. */
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
        } else if (!entry.spec().describesSameTask(spec)) {
            throw new InvalidRequestException(RequestMessages.taskSpecDiffers(spec.id()));
        } else if (!entry.mayBeResubmitted()) {
            if (!entry.isPending()) {
                lifecycle.repeatNotifications(entry, actions);
            }
            return;
        }
        lifecycle.discardPrevious(entry);
        entry.submit(spec, now + maxWaitMicros(spec, taskClass));
        acceptOrComplete(now, entry, task.tenant(), uncertainty, actions);
    }

    private long maxWaitMicros(TaskSpec spec, TaskClass taskClass) {
        long requestedMicros =
                spec.maxWaitMicros() == null ? taskClass.deadlineMicros() : spec.maxWaitMicros();
        return Math.min(limits.maxWaitMicros(), requestedMicros);
    }

    private void acceptOrComplete(
            long now,
            RequestEntry entry,
            String tenant,
            Uncertainty uncertainty,
            Consumer<Action> actions) {
        boolean awaitsProof = uncertainty == Uncertainty.PENDING_PROOF;
        // after a restart of the placer, the task may be running on a machine that has not
        // reported it yet; without this wait it could start twice
        boolean mustSettle =
                !settling.isOver(now) && entry.idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean deferred = awaitsProof || mustSettle;
        actions.accept(
                new RequestSubmitted(
                        entry.owner(),
                        tenant,
                        entry.spec(),
                        entry.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY,
                        deferred,
                        awaitsProof));
        Optional<RequestOutcome> immediateOutcome = immediateOutcome(entry, uncertainty);
        if (immediateOutcome.isPresent()) {
            lifecycle.complete(now, entry, immediateOutcome.get(), actions);
        } else if (deferred) {
            lifecycle.defer(entry, awaitsProof);
        } else {
            lifecycle.accept(now, entry, actions);
        }
    }

    /** Returns the outcome of a request that cannot be accepted, or empty if it can. */
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
