package thornferry.decisions.attempts;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.AttemptAccepted;
import thornferry.decisions.placement.Placement.AttemptEnded;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.ObservationKind;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.TaskObserved;

/**
 * Tracks each attempt from its offer to its outcome. Each attempt ends with exactly one {@link
 * AttemptEnded} event for the placement policy.
 *
 * <p>Above all, the class decides <b>which observations prove that an attempt never ran</b>,
 * because only then may a task that must not start twice be offered to another machine:
 *
 * <table>
 * <caption>Observations and the resulting outcome of an open attempt</caption>
 * <tr><th>observation</th><th>conclusion</th><th>outcome</th></tr>
 * <tr><td>not all bytes of the offer were written</td><td>never ran: the machine cannot have read a
 *     complete offer</td><td>{@code UNREACHABLE}</td></tr>
 * <tr><td>the machine reports {@code REJECTED}</td><td>never ran</td><td>{@code REJECTED}</td></tr>
 * <tr><td>the machine reports {@code CANCELLED} without a start</td><td>never ran</td>
 *     <td>{@code REJECTED}</td></tr>
 * <tr><td>the inventory of the same machine incarnation, after a reconnect, does not contain the
 *     attempt, and is complete since before the offer</td><td>never ran: the offer was not
 *     received</td>
 *     <td>{@code UNREACHABLE}</td></tr>
 * <tr><td>the same, but the inventory is complete only since after the offer</td><td>may have
 *     run</td><td>{@code LOST}</td></tr>
 * <tr><td>the inventory contains the attempt, or the machine reports a status other than {@code
 *     REJECTED} and {@code CANCELLED}</td><td>the task was admitted</td><td>none yet, or that of
 *     the placed task</td></tr>
 * <tr><td>the incarnation of the machine ended</td><td>may have run</td><td>{@code LOST}</td></tr>
 * <tr><td>the offer expired</td><td>may have run</td><td>{@code TIMED_OUT}</td></tr>
 * <tr><td>the connection broke</td><td>may have run: the attempt of an idempotent task ends, any
 *     other stays open until one of the above is observed</td><td>{@code LOST} or none</td></tr>
 * </table>
 *
 * <p>All times are microseconds of the caller's clock; the class does no I/O.
 */
public final class AttemptTracker {
    /** An action for the caller, to be carried out in the order of receipt. */
    public sealed interface Action {}

    /** Passes the event to the placement policy. */
    public record NotifyPolicy(Placement.Event event) implements Action {}

    /** Cancels the attempt on the machine, in whatever state it is there. */
    public record CancelAttempt(String machine, String attempt) implements Action {}

    /**
     * The attempt is proven never to have run. This precedes the {@link NotifyPolicy} of its
     * outcome, and is omitted for idempotent tasks, which may start twice.
     */
    public record NeverRan(String requestId, String attempt) implements Action {}

    /** A machine admitted the task: the result of the request is that it is placed. */
    public record RequestPlaced(String requestId, String machine) implements Action {}

    /** A placed task has terminated. */
    public record TaskTerminated(
            String requestId, String machine, TerminationCause terminationCause)
            implements Action {}

    /** The machine rejected an offer. The owner may be told the reason. */
    public record OfferRejected(String requestId, String machine, OutcomeReason reason)
            implements Action {}

    /** Adopts a task that an earlier incarnation of this placer offered to the machine. */
    public record AdoptTask(String machine, String attempt) implements Action {}

    /** The machine reported a status of an attempt that it was never offered. */
    public record ProtocolViolation(String machine, String description) implements Action {}

    /**
     * A report of a machine about an attempt.
     *
     * @param reason the reason of a rejection, {@code NONE} with any other status
     * @param ran with {@code CANCELLED}, whether the task had started
     * @param load the machine's load report that came with this report, or null if it sent none
     */
    public record StatusReport(
            String attempt,
            AttemptStatus status,
            OutcomeReason reason,
            boolean ran,
            LoadReport load) {
        static StatusReport running(String attempt) {
            return new StatusReport(attempt, AttemptStatus.RUNNING, OutcomeReason.NONE, true, null);
        }
    }

    /**
     * The time for which the protocol requires machines to remember ended attempts. It is assumed
     * for a machine that does not report since when its inventory is complete.
     */
    private static final long MIN_ATTEMPT_RETENTION_MICROS = 30_000_000;

    private final String incarnationName;
    private final AttemptIndex attemptIndex = new AttemptIndex();
    private long lastAttemptNumber;

    /**
     * Creates a tracker without attempts.
     *
     * @param incarnationName the name of this incarnation of the placer, which no earlier one had;
     *     the prefix of the ids of its attempts
     */
    public AttemptTracker(String incarnationName) {
        this.incarnationName = incarnationName;
    }

    // ---- offers ----
    /**
     * Starts to track an attempt that is about to be offered.
     *
     * @param attemptNumber the number of the attempt within its request, from 0
     * @param incarnation the machine's incarnation
     * @param timeoutMicros the time after which an unanswered attempt is cancelled
     * @return the attempt's id, which no other placer or incarnation uses
     */
    public String begin(
            long now,
            String requestId,
            int attemptNumber,
            String machine,
            long incarnation,
            Idempotency idempotency,
            long timeoutMicros) {
        AttemptOffer offer =
                new AttemptOffer(
                        incarnationName + "-" + ++lastAttemptNumber,
                        requestId,
                        attemptNumber,
                        machine,
                        incarnation,
                        idempotency,
                        now,
                        now + timeoutMicros);
        attemptIndex.add(new Attempt(offer, AttemptState.OPEN));
        return offer.attemptId();
    }

    /**
     * Ends an attempt whose offer was not written completely, so that no machine can have read it.
     */
    public void offerNotWritten(long now, String attemptId, Consumer<Action> actions) {
        Attempt attempt = attemptIndex.find(attemptId);
        if (attempt != null && attempt.isOpen()) {
            end(now, attempt, AttemptEnding.withoutReason(AttemptOutcome.UNREACHABLE), actions);
        }
    }

    /**
     * Cancels the attempt of a request that was abandoned or whose task is being migrated.
     *
     * @param cause the termination cause of the task if this cancellation ends it
     */
    public void cancel(String requestId, TerminationCause cause, Consumer<Action> actions) {
        Attempt attempt = attemptIndex.findByRequest(requestId);
        if (attempt != null) {
            attempt.recordCancellation(cause);
            actions.accept(new CancelAttempt(attempt.machine(), attempt.id()));
        }
    }

    /** Cancels and ends the attempts whose offers have expired without an answer. */
    public void tick(long now, Consumer<Action> actions) {
        for (Attempt attempt : attemptIndex.openAttempts()) {
            if (now < attempt.offer().expiresAtMicros()) {
                continue;
            }
            actions.accept(new CancelAttempt(attempt.machine(), attempt.id()));
            // an attempt whose offer was not sent yet has already been ended by its cancellation
            if (attemptIndex.contains(attempt)) {
                end(now, attempt, AttemptEnding.withoutReason(AttemptOutcome.TIMED_OUT), actions);
            }
        }
    }

    // ---- reports ----
    /** Processes the status of an attempt as reported by a machine. */
    public void reported(long now, String machine, StatusReport report, Consumer<Action> actions) {
        Attempt attempt = attemptIndex.find(report.attempt());
        if (attempt == null || !attempt.machine().equals(machine)) {
            handleUntracked(machine, report, actions);
            return;
        }
        switch (report.status()) {
            case ACCEPTED -> place(now, attempt, actions);
            case RUNNING -> handleRunning(now, attempt, actions);
            case REJECTED -> handleRejected(now, attempt, report, actions);
            case CANCELLED -> handleCancelled(now, attempt, report, actions);
            case COMPLETED, EVICTED, EVACUATED -> handleTermination(now, attempt, report, actions);
            default -> throw new IllegalArgumentException("no such status: " + report.status());
        }
    }

    private void handleUntracked(String machine, StatusReport report, Consumer<Action> actions) {
        String attemptId = report.attempt();
        if (isOfThisIncarnation(attemptId) && !machine.equals(attemptIndex.machineOf(attemptId))) {
            actions.accept(
                    new ProtocolViolation(
                            machine, "attempt " + attemptId + " was not offered to this node"));
        } else if (report.status() == AttemptStatus.ACCEPTED
                || report.status() == AttemptStatus.RUNNING) {
            // the attempt has ended for this placer: without this, an untracked task would run
            actions.accept(new CancelAttempt(machine, attemptId));
        }
    }

    private void handleRunning(long now, Attempt attempt, Consumer<Action> actions) {
        // a running task was admitted, even if the report of its admission was lost
        place(now, attempt, actions);
        if (!attempt.isRunning()) {
            attempt.markRunning();
            actions.accept(observation(attempt, ObservationKind.RUNNING, 1));
        }
    }

    private void handleRejected(
            long now, Attempt attempt, StatusReport report, Consumer<Action> actions) {
        if (attempt.isOpen()) {
            actions.accept(
                    new OfferRejected(attempt.requestId(), attempt.machine(), report.reason()));
            end(
                    now,
                    attempt,
                    new AttemptEnding(AttemptOutcome.REJECTED, report.reason(), report.load()),
                    actions);
        }
    }

    private void handleCancelled(
            long now, Attempt attempt, StatusReport report, Consumer<Action> actions) {
        if (attempt.isOpen()) {
            AttemptOutcome outcome =
                    report.ran() ? AttemptOutcome.CANCELLED : AttemptOutcome.REJECTED;
            end(
                    now,
                    attempt,
                    new AttemptEnding(outcome, OutcomeReason.UNAVAILABLE, report.load()),
                    actions);
        } else {
            terminate(
                    now,
                    attempt,
                    new AttemptEnding(AttemptOutcome.CANCELLED, OutcomeReason.NONE, report.load()),
                    attempt.cancellationCauseOr(TerminationCause.STOPPED),
                    actions);
        }
    }

    private void handleTermination(
            long now, Attempt attempt, StatusReport report, Consumer<Action> actions) {
        if (report.status() == AttemptStatus.COMPLETED) {
            terminate(
                    now,
                    attempt,
                    new AttemptEnding(AttemptOutcome.COMPLETED, OutcomeReason.NONE, report.load()),
                    TerminationCause.COMPLETED,
                    actions);
            return;
        }
        OutcomeReason reason =
                report.status() == AttemptStatus.EVICTED
                        ? OutcomeReason.EVICTED
                        : OutcomeReason.EVACUATED;
        terminate(
                now,
                attempt,
                new AttemptEnding(AttemptOutcome.LOST, reason, report.load()),
                TerminationCause.EVICTED,
                actions);
    }

    /** Processes the resource usage of a placed task as reported by its machine. */
    public void usageReported(
            String machine,
            String attemptId,
            double cores,
            double memory,
            Consumer<Action> actions) {
        Attempt attempt = attemptIndex.find(attemptId);
        if (attempt != null && attempt.machine().equals(machine) && !attempt.isOpen()) {
            actions.accept(observation(attempt, ObservationKind.CORES_USED, cores));
            actions.accept(observation(attempt, ObservationKind.MEMORY_USED, memory));
        }
    }

    // ---- connections and incarnations of machines ----
    /**
     * Processes the loss of a machine's connection. Open attempts of idempotent tasks end as {@code
     * LOST}. Other open attempts stay open until it is proven whether they ran, and placed tasks
     * until the machine registers again.
     */
    public void connectionLost(long now, String machine, Consumer<Action> actions) {
        for (Attempt attempt : attemptIndex.attemptsOnMachine(machine)) {
            if (attempt.isOpen() && attempt.isIdempotent()) {
                end(now, attempt, AttemptEnding.LOST, actions);
            }
        }
    }

    /**
     * Processes the inventory of a machine that registers: the attempts of this placer that it has.
     *
     * <p>A machine connects again only after its previous connection is closed on its side, so that
     * nothing sent on the previous connection can still arrive. The caller has processed the
     * machine's reports of ended attempts before. An attempt that is missing from the inventory of
     * the same incarnation was therefore never received, provided that its offer is more recent
     * than the time since which the inventory is complete.
     *
     * @param attemptIds the attempts that the machine has: admitted and not ended
     * @param runningAttemptIds those of them whose tasks have started
     * @param completeSinceMicros by idempotency, the time since which the machine remembers all
     *     attempts that it accepted; absent if the machine does not report it
     */
    public void inventoryReported(
            long now,
            String machine,
            long incarnation,
            Set<String> attemptIds,
            Set<String> runningAttemptIds,
            Map<Idempotency, Long> completeSinceMicros,
            Consumer<Action> actions) {
        for (Attempt attempt : attemptIndex.attemptsOnMachine(machine)) {
            // incarnationEnded processes the attempts of earlier incarnations
            if (attempt.offer().incarnation() != incarnation) {
                continue;
            }
            if (attemptIds.contains(attempt.id())) {
                place(now, attempt, actions);
            } else {
                endMissing(now, attempt, completeSinceMicros, actions);
            }
        }
        for (String attemptId : new LinkedHashSet<>(attemptIds)) {
            if (attemptIndex.find(attemptId) != null) {
                if (runningAttemptIds.contains(attemptId)) {
                    reported(now, machine, StatusReport.running(attemptId), actions);
                }
            } else if (isOfThisIncarnation(attemptId)) {
                // the attempt ended for this placer, and its owner was notified, while disconnected
                actions.accept(new CancelAttempt(machine, attemptId));
            } else {
                actions.accept(new AdoptTask(machine, attemptId));
            }
        }
    }

    private void endMissing(
            long now,
            Attempt attempt,
            Map<Idempotency, Long> completeSinceMicros,
            Consumer<Action> actions) {
        if (!attempt.isOpen()) {
            terminateAsLost(now, attempt, actions);
            return;
        }
        // a machine may have forgotten an attempt from before this time, which then proves nothing
        AttemptOffer offer = attempt.offer();
        long completeSince =
                completeSinceMicros.getOrDefault(
                        offer.idempotency(), now - MIN_ATTEMPT_RETENTION_MICROS);
        boolean provesNeverRan = offer.sentAtMicros() > completeSince;
        end(
                now,
                attempt,
                AttemptEnding.withoutReason(
                        provesNeverRan ? AttemptOutcome.UNREACHABLE : AttemptOutcome.LOST),
                actions);
    }

    /**
     * Processes the end of an incarnation of a machine, and of all earlier ones: placed tasks are
     * lost, and open attempts may have run.
     */
    public void incarnationEnded(
            long now, String machine, long incarnation, Consumer<Action> actions) {
        for (Attempt attempt : attemptIndex.attemptsOnMachine(machine)) {
            if (attempt.offer().incarnation() > incarnation) {
                continue;
            }
            if (attempt.isOpen()) {
                end(now, attempt, AttemptEnding.LOST, actions);
            } else {
                terminateAsLost(now, attempt, actions);
            }
        }
    }

    /**
     * Starts to track a task that an earlier incarnation of this placer offered, as the placed
     * attempt 0 of {@code requestId}.
     */
    public void trackAdopted(
            long now,
            String attemptId,
            String requestId,
            String machine,
            long incarnation,
            Idempotency idempotency,
            boolean running) {
        AttemptOffer offer =
                new AttemptOffer(
                        attemptId, requestId, 0, machine, incarnation, idempotency, now, now);
        attemptIndex.add(new Attempt(offer, running ? AttemptState.RUNNING : AttemptState.PLACED));
    }

    // ---- state transitions ----
    private void place(long now, Attempt attempt, Consumer<Action> actions) {
        if (attempt.isOpen()) {
            attemptIndex.markPlaced(attempt);
            actions.accept(
                    new NotifyPolicy(
                            new AttemptAccepted(
                                    attempt.requestId(),
                                    attempt.number(),
                                    attempt.machine(),
                                    attempt.ageMicros(now))));
            actions.accept(new RequestPlaced(attempt.requestId(), attempt.machine()));
        }
    }

    /** Ends an attempt that was not placed. */
    private void end(long now, Attempt attempt, AttemptEnding ending, Consumer<Action> actions) {
        attemptIndex.remove(attempt);
        if (!attempt.isIdempotent() && ending.provesNeverRan()) {
            actions.accept(new NeverRan(attempt.requestId(), attempt.id()));
        }
        actions.accept(new NotifyPolicy(ending.toPolicyEvent(now, attempt, false)));
    }

    /** Ends a placed task, or one whose end proves that it had been placed. */
    private void terminate(
            long now,
            Attempt attempt,
            AttemptEnding ending,
            TerminationCause cause,
            Consumer<Action> actions) {
        place(now, attempt, actions);
        attemptIndex.remove(attempt);
        actions.accept(new NotifyPolicy(ending.toPolicyEvent(now, attempt, true)));
        actions.accept(new TaskTerminated(attempt.requestId(), attempt.machine(), cause));
    }

    /**
     * Ends a placed task that is lost with its machine. The cause of a cancellation takes
     * precedence over {@code LOST}.
     */
    private void terminateAsLost(long now, Attempt attempt, Consumer<Action> actions) {
        TerminationCause cause = attempt.cancellationCauseOr(TerminationCause.LOST);
        terminate(now, attempt, AttemptEnding.LOST, cause, actions);
    }

    private static NotifyPolicy observation(Attempt attempt, ObservationKind kind, double value) {
        return new NotifyPolicy(
                new TaskObserved(
                        attempt.requestId(), attempt.number(), attempt.machine(), kind, value));
    }

    // ---- queries ----
    /** Returns whether the attempt is offered, or about to be, and not answered. */
    public boolean isOpen(String attemptId) {
        return attemptIndex.isOpen(attemptId);
    }

    /** Returns whether this incarnation of the placer made the attempt. */
    public boolean isOfThisIncarnation(String attemptId) {
        return attemptId.startsWith(incarnationName + "-");
    }

    /** Returns the number of attempts without an outcome on a machine, open and placed ones. */
    public int attemptCountOnMachine(String machine) {
        return attemptIndex.countOnMachine(machine);
    }

    /** Returns the number of attempts without an outcome on all machines, open and placed ones. */
    public int activeAttemptCount() {
        return attemptIndex.size();
    }
}
