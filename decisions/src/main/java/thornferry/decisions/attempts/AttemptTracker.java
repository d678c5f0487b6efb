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
 * Follows each attempt from its offer to its outcome. Each attempt ends with exactly one {@link
 * AttemptEnded} for the placement policy.
 *
 * <p>Above all it decides <b>what proves that an attempt never ran</b>, so that a task whose second
 * start could do harm may be offered elsewhere:
 *
 * <table>
 * <caption>What becomes of an open attempt</caption>
 * <tr><th>observation</th><th>conclusion</th><th>outcome</th></tr>
 * <tr><td>not all bytes of the offer were written</td><td>never ran: no machine can have read a
 *     complete offer</td><td>{@code UNREACHABLE}</td></tr>
 * <tr><td>the machine reports {@code REJECTED}</td><td>never ran</td><td>{@code REJECTED}</td></tr>
 * <tr><td>the machine reports {@code CANCELLED} without a start</td><td>never ran</td>
 *     <td>{@code REJECTED}</td></tr>
 * <tr><td>the inventory of the same machine incarnation, after a reconnect, does not contain it,
 *     and reaches back beyond the offer</td><td>never ran: the offer was not received</td>
 *     <td>{@code UNREACHABLE}</td></tr>
 * <tr><td>the same, but the inventory does not reach back that far</td><td>may have run</td>
 *     <td>{@code LOST}</td></tr>
 * <tr><td>the inventory contains it, or the machine reports anything but {@code REJECTED} and
 *     {@code CANCELLED}</td><td>it was admitted</td><td>none yet, or that of the placed task</td>
 *     </tr>
 * <tr><td>the incarnation of the machine ended</td><td>may have run</td><td>{@code LOST}</td></tr>
 * <tr><td>the offer expired</td><td>may have run</td><td>{@code TIMED_OUT}</td></tr>
 * <tr><td>the connection broke</td><td>nothing: an idempotent attempt ends as {@code LOST}, any
 *     other stays open until one of the above</td><td>{@code LOST} or none</td></tr>
 * </table>
 *
 * <p>All times are microseconds of the caller's clock; the class does no I/O.
 */
public final class AttemptTracker {
    /** What the caller is to do; actions are to be carried out in the order in which they come. */
    public sealed interface Action {}

    /** Pass the event to the placement policy. */
    public record NotifyPolicy(Placement.Event event) implements Action {}

    /** Make the machine drop the attempt, whatever became of it. */
    public record CancelAttempt(String machine, String attempt) implements Action {}

    /**
     * The attempt is proven never to have run; comes before its {@link NotifyPolicy}. Omitted for
     * idempotent tasks, where it makes no difference.
     */
    public record NeverRan(String requestId, String attempt) implements Action {}

    /** The request is placed, which is its result. */
    public record RequestPlaced(String requestId, String machine) implements Action {}

    /** A placed task has terminated. */
    public record TaskTerminated(
            String requestId, String machine, TerminationCause terminationCause)
            implements Action {}

    /** The machine rejected an offer, for a reason that the owner may be given. */
    public record OfferRejected(String requestId, String machine, OutcomeReason reason)
            implements Action {}

    /** The machine runs work of an earlier incarnation of this placer: track it from now on. */
    public record AdoptTask(String machine, String attempt) implements Action {}

    /** The machine reported on an attempt that it was never offered. */
    public record ProtocolViolation(String machine, String description) implements Action {}

    /**
     * What a machine reports about an attempt.
     *
     * @param reason why it was rejected, {@code NONE} with any other status
     * @param ran with {@code CANCELLED}: whether the task had started
     * @param load the machine's load report that came with it, or null where it sent none
     */
    public record Report(
            String attempt,
            AttemptStatus status,
            OutcomeReason reason,
            boolean ran,
            LoadReport load) {
        static Report running(String attempt) {
            return new Report(attempt, AttemptStatus.RUNNING, OutcomeReason.NONE, true, null);
        }
    }

    /**
     * How far back the inventory of a machine reaches that does not report it: the minimum that the
     * protocol requires.
     */
    private static final long DEFAULT_INVENTORY_REACH_MICROS = 30_000_000;

    private final String incarnationName;
    private final AttemptIndex attempts = new AttemptIndex();
    private long attemptCount;

    /**
     * @param incarnationName names this incarnation of this placer, unlike any earlier one; it is
     *     the prefix of the names of its attempts
     */
    public AttemptTracker(String incarnationName) {
        this.incarnationName = incarnationName;
    }

    // ---- offers ----
    /**
     * Starts to track an attempt that is about to be offered.
     *
     * @param attemptNumber counts the attempts of the request, from 0
     * @param incarnation the machine's incarnation
     * @param timeoutMicros an attempt without an answer for so long is cancelled
     * @return the attempt's name, which no other placer or incarnation uses
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
                        incarnationName + "-" + ++attemptCount,
                        requestId,
                        attemptNumber,
                        machine,
                        incarnation,
                        idempotency,
                        now,
                        now + timeoutMicros);
        attempts.add(new Attempt(offer, AttemptState.OPEN));
        return offer.attemptId();
    }

    /** Not all bytes of the offer were written, so that no machine can have read it. */
    public void notWritten(long now, String attemptId, Consumer<Action> actions) {
        Attempt attempt = attempts.find(attemptId);
        if (attempt != null && attempt.isOpen()) {
            end(now, attempt, AttemptEnding.withoutReason(AttemptOutcome.UNREACHABLE), actions);
        }
    }

    /**
     * Nobody waits for the request any more, or the policy migrates it: its attempt is cancelled.
     *
     * @param cause the termination cause of the task if it ends because of this
     */
    public void cancel(String requestId, TerminationCause cause, Consumer<Action> actions) {
        Attempt attempt = attempts.findByRequest(requestId);
        if (attempt != null) {
            attempt.cancelledBecause(cause);
            actions.accept(new CancelAttempt(attempt.machine(), attempt.id()));
        }
    }

    /** Cancels and ends the attempts that were not answered in time. */
    public void tick(long now, Consumer<Action> actions) {
        for (Attempt attempt : attempts.openAttempts()) {
            if (now < attempt.offer().expiresAtMicros()) {
                continue;
            }
            actions.accept(new CancelAttempt(attempt.machine(), attempt.id()));
            // the cancellation has already ended an attempt whose offer was not sent
            if (attempts.contains(attempt)) {
                end(now, attempt, AttemptEnding.withoutReason(AttemptOutcome.TIMED_OUT), actions);
            }
        }
    }

    // ---- reports ----
    /** A machine reports the status of an attempt. */
    public void reported(long now, String machine, Report report, Consumer<Action> actions) {
        Attempt attempt = attempts.find(report.attempt());
        if (attempt == null || !attempt.machine().equals(machine)) {
            reportedUntracked(machine, report, actions);
            return;
        }
        switch (report.status()) {
            case ACCEPTED -> place(now, attempt, actions);
            case RUNNING -> startedRunning(now, attempt, actions);
            case REJECTED -> rejected(now, attempt, report, actions);
            case CANCELLED -> cancelled(now, attempt, report, actions);
            case COMPLETED, EVICTED, EVACUATED -> terminated(now, attempt, report, actions);
            default -> throw new IllegalArgumentException("no such status: " + report.status());
        }
    }

    private void reportedUntracked(String machine, Report report, Consumer<Action> actions) {
        String attemptId = report.attempt();
        if (isOwn(attemptId) && !machine.equals(attempts.machineOf(attemptId))) {
            actions.accept(
                    new ProtocolViolation(
                            machine, "attempt " + attemptId + " was not offered to this node"));
        } else if (report.status() == AttemptStatus.ACCEPTED
                || report.status() == AttemptStatus.RUNNING) {
            // the attempt ended meanwhile: nobody would track the task if it stayed
            actions.accept(new CancelAttempt(machine, attemptId));
        }
    }

    private void startedRunning(long now, Attempt attempt, Consumer<Action> actions) {
        // it was admitted, even where the report of that was lost
        place(now, attempt, actions);
        if (!attempt.isRunning()) {
            attempt.becomeRunning();
            actions.accept(observed(attempt, ObservationKind.RUNNING, 1));
        }
    }

    private void rejected(long now, Attempt attempt, Report report, Consumer<Action> actions) {
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

    private void cancelled(long now, Attempt attempt, Report report, Consumer<Action> actions) {
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

    private void terminated(long now, Attempt attempt, Report report, Consumer<Action> actions) {
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

    /** A machine reports what a task placed there uses. */
    public void usageReported(
            String machine,
            String attemptId,
            double cores,
            double memory,
            Consumer<Action> actions) {
        Attempt attempt = attempts.find(attemptId);
        if (attempt != null && attempt.machine().equals(machine) && !attempt.isOpen()) {
            actions.accept(observed(attempt, ObservationKind.CORES_USED, cores));
            actions.accept(observed(attempt, ObservationKind.MEMORY_USED, memory));
        }
    }

    // ---- connections and incarnations of machines ----
    /**
     * The connection to a machine broke. Open attempts of idempotent tasks are given up; other open
     * attempts wait for proof, and placed tasks for the machine's return.
     */
    public void connectionLost(long now, String machine, Consumer<Action> actions) {
        for (Attempt attempt : attempts.onMachine(machine)) {
            if (attempt.isOpen() && attempt.isIdempotent()) {
                end(now, attempt, AttemptEnding.LOST, actions);
            }
        }
    }

    /**
     * A machine is connected and lists what it has of this placer's attempts.
     *
     * <p>A machine connects again only after it has seen its former connection closed, so nothing
     * sent on that one can still reach it. An attempt that is missing from the inventory of the
     * same incarnation, and whose end was not reported just before, was never received; provided
     * that it is not older than what the machine remembers.
     *
     * @param attemptIds the attempts that the machine has
     * @param runningAttemptIds those of them that run
     * @param completeSinceMicros by idempotency: since when the machine remembers all attempts that
     *     it accepted; absent where it does not report it
     */
    public void inventory(
            long now,
            String machine,
            long incarnation,
            Set<String> attemptIds,
            Set<String> runningAttemptIds,
            Map<Idempotency, Long> completeSinceMicros,
            Consumer<Action> actions) {
        for (Attempt attempt : attempts.onMachine(machine)) {
            // those of an earlier incarnation are up to incarnationEnded
            if (attempt.offer().incarnation() != incarnation) {
                continue;
            }
            if (attemptIds.contains(attempt.id())) {
                place(now, attempt, actions);
            } else {
                missingFromInventory(now, attempt, completeSinceMicros, actions);
            }
        }
        for (String attemptId : new LinkedHashSet<>(attemptIds)) {
            if (attempts.find(attemptId) != null) {
                if (runningAttemptIds.contains(attemptId)) {
                    reported(now, machine, Report.running(attemptId), actions);
                }
            } else if (isOwn(attemptId)) {
                // it ended for this placer, and its owner was notified, while the machine was away
                actions.accept(new CancelAttempt(machine, attemptId));
            } else {
                actions.accept(new AdoptTask(machine, attemptId));
            }
        }
    }

    private void missingFromInventory(
            long now,
            Attempt attempt,
            Map<Idempotency, Long> completeSinceMicros,
            Consumer<Action> actions) {
        if (!attempt.isOpen()) {
            lose(now, attempt, actions);
            return;
        }
        // a machine that has had to forget how attempts ended proves nothing by not listing one
        AttemptOffer offer = attempt.offer();
        long completeSince =
                completeSinceMicros.getOrDefault(
                        offer.idempotency(), now - DEFAULT_INVENTORY_REACH_MICROS);
        boolean provesNeverRan = offer.sentAtMicros() > completeSince;
        end(
                now,
                attempt,
                AttemptEnding.withoutReason(
                        provesNeverRan ? AttemptOutcome.UNREACHABLE : AttemptOutcome.LOST),
                actions);
    }

    /**
     * An incarnation of a machine ended, and with it all earlier ones: tasks placed there are lost,
     * open attempts may have run.
     */
    public void incarnationEnded(
            long now, String machine, long incarnation, Consumer<Action> actions) {
        for (Attempt attempt : attempts.onMachine(machine)) {
            if (attempt.offer().incarnation() > incarnation) {
                continue;
            }
            if (attempt.isOpen()) {
                end(now, attempt, AttemptEnding.LOST, actions);
            } else {
                lose(now, attempt, actions);
            }
        }
    }

    /**
     * Tracks work of an earlier incarnation of this placer, as the placed attempt 0 of {@code
     * requestId}.
     */
    public void adopted(
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
        attempts.add(new Attempt(offer, running ? AttemptState.RUNNING : AttemptState.PLACED));
    }

    // ---- state transitions ----
    private void place(long now, Attempt attempt, Consumer<Action> actions) {
        if (attempt.isOpen()) {
            attempts.markPlaced(attempt);
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
        attempts.remove(attempt);
        if (!attempt.isIdempotent() && ending.provesNeverRan()) {
            actions.accept(new NeverRan(attempt.requestId(), attempt.id()));
        }
        actions.accept(new NotifyPolicy(ending.event(now, attempt, false)));
    }

    /** Ends a task that was placed, or that proves by its end that it had been. */
    private void terminate(
            long now,
            Attempt attempt,
            AttemptEnding ending,
            TerminationCause cause,
            Consumer<Action> actions) {
        place(now, attempt, actions);
        attempts.remove(attempt);
        actions.accept(new NotifyPolicy(ending.event(now, attempt, true)));
        actions.accept(new TaskTerminated(attempt.requestId(), attempt.machine(), cause));
    }

    /** A placed task is gone with its machine; one that was being cancelled counts as cancelled. */
    private void lose(long now, Attempt attempt, Consumer<Action> actions) {
        TerminationCause cause = attempt.cancellationCauseOr(TerminationCause.LOST);
        terminate(now, attempt, AttemptEnding.LOST, cause, actions);
    }

    private static NotifyPolicy observed(Attempt attempt, ObservationKind kind, double value) {
        return new NotifyPolicy(
                new TaskObserved(
                        attempt.requestId(), attempt.number(), attempt.machine(), kind, value));
    }

    // ---- queries ----
    /** Whether the attempt is open: offered, or about to be, and without an outcome. */
    public boolean isOpen(String attemptId) {
        return attempts.isOpen(attemptId);
    }

    /** Whether the attempt was made by this incarnation of the placer. */
    public boolean isOwn(String attemptId) {
        return attemptId.startsWith(incarnationName + "-");
    }

    /** The number of attempts without an outcome on a machine, open and placed ones. */
    public int attemptCountOnMachine(String machine) {
        return attempts.countOnMachine(machine);
    }

    /** The number of attempts without an outcome on all machines, open and placed ones. */
    public int attemptCount() {
        return attempts.size();
    }
}
