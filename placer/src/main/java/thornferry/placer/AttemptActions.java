package thornferry.placer;

import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.attempts.AttemptTracker;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.RequestTracker;

/** Carries out the actions of the {@link AttemptTracker} and passes it the reports of machines. */
final class AttemptActions implements Consumer<AttemptTracker.Action> {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptActions.class);
    private static final long NO_DEADLINE_MICROS = 0;
    private static final String NOT_REJECTED = "";

    private final PlacerComponents components;

    AttemptActions(PlacerComponents components) {
        this.components = components;
    }

    /** Processes the report of a machine about the status of an attempt. */
    void report(String machine, AttemptReport report) {
        if (report.load() != null) {
            components.cluster.recordLoadReport(
                    machine, report.load().freeCores(), report.load().freeMemory());
        }
        components.attempts.reported(
                components.clock().now(),
                machine,
                new AttemptTracker.StatusReport(
                        report.attempt(),
                        report.status(),
                        outcomeReason(report.rejectionReason()),
                        report.ran(),
                        report.load()),
                action -> acceptFromReport(action, report.rejectionReason()));
    }

    /** Compares the inventory of an admitted machine with the attempts known to run there. */
    void reconcile(long now, String machine, long incarnation, NodeRegistration registration) {
        Map<String, HeldAttempt> heldAttempts = registration.heldAttemptsById();
        components.attempts.inventoryReported(
                now,
                machine,
                incarnation,
                heldAttempts.keySet(),
                registration.runningAttempts(),
                registration.completeSinceMicros(),
                action -> acceptFromRegistration(action, heldAttempts));
    }

    @Override
    public void accept(AttemptTracker.Action action) {
        long now = components.clock().now();
        if (action instanceof AttemptTracker.NotifyPolicy notify) {
            notifyPolicy(now, notify.event());
        } else if (action instanceof AttemptTracker.NeverRan neverRan) {
            recordNeverRan(now, neverRan);
        } else if (action instanceof AttemptTracker.CancelAttempt cancel) {
            cancel(now, cancel);
        } else if (action instanceof AttemptTracker.RequestPlaced placed) {
            components.requests.placed(
                    now, placed.requestId(), placed.machine(), components.requestActions);
        } else if (action instanceof AttemptTracker.TaskTerminated terminated) {
            components.requests.finished(
                    now,
                    terminated.requestId(),
                    terminated.machine(),
                    terminated.terminationCause(),
                    components.requestActions);
        } else if (action instanceof AttemptTracker.ProtocolViolation violation) {
            components.output.closeConnection(
                    components.membership.connectionOf(violation.machine()),
                    violation.description());
        } else {
            throw new IllegalStateException(
                    "action that only a report or a registration may cause: " + action);
        }
    }

    /**
     * Carries out an action that results from the report of a machine.
     *
     * @param reason the rejection reason in the report
     */
    private void acceptFromReport(AttemptTracker.Action action, RejectionReason reason) {
        if (action instanceof AttemptTracker.OfferRejected rejected) {
            components.requests.offerRejected(
                    rejected.requestId(), rejected.machine(), rejected.reason());
            components.cluster.recordRejection(rejected.machine(), reason);
            components.reasons.offerRejected(rejected.requestId(), rejected.machine(), reason);
        } else {
            accept(action);
        }
    }

    /**
     * Carries out an action that results from the registration of a machine.
     *
     * @param heldAttempts the held attempts in the registration, by attempt id
     */
    private void acceptFromRegistration(
            AttemptTracker.Action action, Map<String, HeldAttempt> heldAttempts) {
        if (action instanceof AttemptTracker.AdoptTask adopt) {
            adopt(adopt, heldAttempts.get(adopt.attempt()));
        } else {
            accept(action);
        }
    }

    /**
     * Passes an event to the policy. The other modules process the event first, since the policy
     * may offer the task again within the call.
     */
    private void notifyPolicy(long now, Placement.Event event) {
        if (event instanceof Placement.AttemptEnded ended) {
            if (isUnresponsive(ended)) {
                components.cluster.recordUnresponsive(ended.machine());
            }
            components.admissionQueue.recordAttemptEnd(now, ended.requestId());
            components.reasons.attemptEnded(ended.requestId(), ended.machine(), ended.outcome());
        } else if (event instanceof Placement.AttemptAccepted accepted) {
            components.cluster.recordAcceptance(accepted.machine());
        }
        components.policy.accept(event);
    }

    private static boolean isUnresponsive(Placement.AttemptEnded ended) {
        return switch (ended.outcome()) {
            case TIMED_OUT, UNREACHABLE -> true;
            case LOST -> ended.reason() == Placement.OutcomeReason.NONE;
            default -> false;
        };
    }

    private void recordNeverRan(long now, AttemptTracker.NeverRan neverRan) {
        RequestTracker.OfferDetails details =
                components.requests.offerDetails(neverRan.requestId());
        if (details != null) {
            components.journal.persist(
                    new JournalRecord.NeverRan(
                            now, details.owner(), details.spec().id(), neverRan.attempt()),
                    failure -> {});
        }
    }

    private void cancel(long now, AttemptTracker.CancelAttempt cancel) {
        if (components.journal.cancelPendingOffer(cancel.attempt())) {
            // Otherwise the offer could be sent after its cancellation, and the task would run
            // untracked.
            components.attempts.offerNotWritten(now, cancel.attempt(), this);
        } else {
            components.output.cancelAttempt(cancel.machine(), cancel.attempt());
        }
    }

    /** Takes over an attempt that an earlier incarnation of this placer started. */
    private void adopt(AttemptTracker.AdoptTask adopt, HeldAttempt held) {
        String machine = adopt.machine();
        Placement.PlacementRequest request =
                components.requests.adopt(
                        components.clock().now(),
                        held.owner(),
                        components.tenantOf(held.owner()),
                        held.spec(),
                        machine,
                        components.requestActions);
        if (request == null) {
            accept(new AttemptTracker.CancelAttempt(machine, adopt.attempt()));
            return;
        }
        components.attempts.trackAdopted(
                components.clock().now(),
                adopt.attempt(),
                request.id(),
                machine,
                components.membership.incarnationOf(machine),
                components.taskClasses.idempotency(request.taskClass()),
                held.running());
        components.admissionQueue.recordAdoption(
                components.clock().now(),
                components.taskClasses.queuedRequest(
                        request, held.owner(), NO_DEADLINE_MICROS, NOT_REJECTED));
        components.policy.accept(new Placement.TaskAdopted(request, machine));
        LOG.atInfo()
                .addKeyValue("instance", components.instance.name())
                .addKeyValue("node", machine)
                .addKeyValue("task", held.spec().id())
                .log("adopted a task that an earlier incarnation of this placer started");
    }

    private static Placement.OutcomeReason outcomeReason(RejectionReason reason) {
        return switch (reason) {
            case INSUFFICIENT_CORES -> Placement.OutcomeReason.INSUFFICIENT_CORES;
            case INSUFFICIENT_MEMORY -> Placement.OutcomeReason.INSUFFICIENT_MEMORY;
            case QUEUE_FULL -> Placement.OutcomeReason.QUEUE_FULL;
            case KEY_HELD, DRAINING, UNAVAILABLE -> Placement.OutcomeReason.UNAVAILABLE;
            case NONE -> Placement.OutcomeReason.NONE;
        };
    }
}
