package thornferry.placer;

import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.RequestTracker;

/** Carries out the actions of the placement policy. */
final class PolicyActions implements Consumer<Placement.Action> {
    private static final Logger LOG = LoggerFactory.getLogger(PolicyActions.class);
    private static final String MAY_HAVE_RUN = "an earlier attempt may have run";
    private static final String INTERNAL_ERROR = "internal error";
    private static final String NO_REASON = "";

    private final PlacerComponents components;
    private long offerCount;

    PolicyActions(PlacerComponents components) {
        this.components = components;
    }

    /** Returns the number of offers that the policy has made. */
    long offerCount() {
        return offerCount;
    }

    @Override
    public void accept(Placement.Action action) {
        if (action instanceof Placement.Offer offer) {
            offer(offer);
        } else if (action instanceof Placement.Pending pending) {
            components.reasons.policyReported(pending);
        } else if (action instanceof Placement.Reject reject) {
            reject(reject);
        } else if (action instanceof Placement.Fail fail) {
            components.requests.failed(
                    components.clock().now(),
                    fail.requestId(),
                    MAY_HAVE_RUN,
                    components.requestActions);
        } else if (action instanceof Placement.CheckHealth check) {
            components.healthChecks.send(check.machine());
        } else if (action instanceof Placement.Migrate migrate) {
            cancelAttempts(migrate.requestId(), TerminationCause.MIGRATED);
        } else if (action instanceof Placement.Cancel cancel) {
            cancelAttempts(cancel.requestId(), TerminationCause.STOPPED);
        } else if (action instanceof Placement.Log message) {
            LOG.atInfo().addKeyValue("instance", components.instance.name()).log(message.message());
        }
        // Subscribe and FetchList need no action: membership reports each change unasked.
    }

    /** Fails a request after the policy threw an exception on an event of it. */
    void policyFailed(String requestId) {
        long now = components.clock().now();
        components.requests.failed(now, requestId, INTERNAL_ERROR, components.requestActions);
        cancelAttempts(requestId, TerminationCause.STOPPED);
        components.policy.accept(new Placement.ClientDisconnected(requestId));
    }

    private void cancelAttempts(String requestId, TerminationCause cause) {
        components.attempts.cancel(requestId, cause, components.attemptActions);
    }

    private void reject(Placement.Reject reject) {
        long now = components.clock().now();
        PendingReasons.Reason reason = components.reasons.reasonOf(now, reject.requestId());
        String reasonText = explainsRejection(reason) ? reason.sentence() : NO_REASON;
        long overloadRetryMicros =
                components.admissionQueue.isOverloaded()
                        ? components.admissionQueue.takeRetryAfterMicros(now)
                        : 0;
        components.requests.rejected(
                now,
                reject.requestId(),
                Math.max(reject.retryAfterMicros(), overloadRetryMicros),
                reasonText,
                components.requestActions);
    }

    /**
     * Returns whether a pending reason also explains the rejection.
     *
     * @param reason the pending reason, or null if none is known
     */
    private static boolean explainsRejection(PendingReasons.Reason reason) {
        return reason != null
                && reason.kind() != PendingReasons.Kind.QUEUED
                && reason.kind() != PendingReasons.Kind.AWAITING_RESPONSE;
    }

    private void offer(Placement.Offer offer) {
        RequestTracker.OfferDetails details = components.requests.nextOffer(offer.requestId());
        if (details == null) {
            LOG.atError()
                    .addKeyValue("instance", components.instance.name())
                    .addKeyValue("task", offer.requestId())
                    .log("the policy offered a request that is not pending; the offer is not sent");
            return;
        }
        offerCount++;
        long now = components.clock().now();
        String attempt = beginAttempt(now, offer, details);
        if (details.idempotency() == Placement.Idempotency.IDEMPOTENT) {
            send(offer.machine(), attempt, details);
            return;
        }
        components.journal.persistBeforeOffer(
                new JournalRecord.Offered(
                        now,
                        attempt,
                        details.owner(),
                        components.tenantOf(details.owner()),
                        details.spec(),
                        details.idempotency(),
                        offer.machine(),
                        components.membership.incarnationOf(offer.machine())),
                failure -> offerPersisted(offer.machine(), attempt, details, failure));
    }

    /** Begins a new attempt in all modules that track it and returns its id. */
    private String beginAttempt(
            long now, Placement.Offer offer, RequestTracker.OfferDetails details) {
        String machine = offer.machine();
        String attempt =
                components.attempts.begin(
                        now,
                        offer.requestId(),
                        details.attemptNumber(),
                        machine,
                        components.membership.incarnationOf(machine),
                        details.idempotency(),
                        offer.timeoutMicros());
        boolean retry = details.attemptNumber() > 0;
        components.admissionQueue.recordAttemptStart(now, offer.requestId(), machine, retry);
        components.reasons.attemptStarted(offer.requestId(), machine);
        LOG.atDebug()
                .addKeyValue("instance", components.instance.name())
                .addKeyValue("task", details.spec().id())
                .addKeyValue("node", machine)
                .addKeyValue("attempt", attempt)
                .log("offered as attempt {} of the request", details.attemptNumber());
        return attempt;
    }

    private void send(String machine, String attempt, RequestTracker.OfferDetails details) {
        if (!components.output.offer(machine, attempt, details)) {
            offerNotSent(attempt);
        }
    }

    private void offerNotSent(String attempt) {
        components.attempts.offerNotWritten(
                components.clock().now(), attempt, components.attemptActions);
    }

    /**
     * Sends an offer whose record is durable. Ends the attempt instead if the record could not be
     * written or the offer must not be sent any more.
     */
    private void offerPersisted(
            String machine,
            String attempt,
            RequestTracker.OfferDetails details,
            Optional<String> failure) {
        // The attempt may have ended, or the machine may have begun to drain, while the record was
        // written.
        if (failure.isEmpty()
                && components.attempts.isOpen(attempt)
                && components.membership.isReady(machine)) {
            send(machine, attempt, details);
        } else {
            components.requests.setJournalUnavailable(components.journal.writeFailure());
            offerNotSent(attempt);
        }
    }
}
