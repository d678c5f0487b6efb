package thornferry.decisions.attempts;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
 * What each attempt has come to, and above all <b>what proves that it never ran</b>: its octets
 * were never wholly written; the machine refused it; the inventory of the same life of the machine,
 * after a reconnect, does not hold it. A broken connection proves nothing, so an attempt whose
 * second start could do harm then stays open until the machine is back or its time is up.
 *
 * <p>Each attempt ends with exactly one {@link AttemptEnded} for the module. Times are
 * microseconds.
 */
public final class AttemptTracker {
    public sealed interface Action {}

    /** To the module. */
    public record NotifyPolicy(Placement.Event event) implements Action {}

    /** Tell the machine to drop the attempt, whatever became of it. */
    public record CancelAttempt(String machine, String attempt) implements Action {}

    /**
     * The attempt is proven never to have run; before its {@link NotifyPolicy}. Not said of what
     * may be repeated freely.
     */
    public record NeverRan(String requestId, String attempt) implements Action {}

    /** The request is placed: its owner's result. */
    public record RequestPlaced(String requestId, String machine) implements Action {}

    /** A placed task is over. */
    public record TaskTerminated(
            String requestId, String machine, TerminationCause terminationCause)
            implements Action {}

    /** The machine refused; for the reason that the owner may be given. */
    public record OfferRejected(String requestId, String machine, OutcomeReason reason)
            implements Action {}

    /** The machine holds work of a former life of this placer: look after it from now on. */
    public record AdoptTask(String machine, String attempt) implements Action {}

    /** The machine spoke of an attempt that it was never offered. */
    public record ProtocolViolation(String machine, String description) implements Action {}

    private enum State {
        OPEN,
        PLACED
    }

    private static final class Attempt {
        final String id;
        final String request;
        final int number;
        final String machine;
        final long incarnation;
        final Idempotency effect;
        final long sentAt;
        final long until;
        State state = State.OPEN;
        boolean runs;
        TerminationCause
                wanted; // what the owner or the module asked for a placed task, to be named when it

        // ends

        Attempt(
                String id,
                String request,
                int number,
                String machine,
                long incarnation,
                Idempotency effect,
                long sentAt,
                long until) {
            this.id = id;
            this.request = request;
            this.number = number;
            this.machine = machine;
            this.incarnation = incarnation;
            this.effect = effect;
            this.sentAt = sentAt;
            this.until = until;
        }
    }

    /**
     * Attempts given up are remembered, so that late words are not taken for lies; bounded, oldest
     * first out.
     */
    private static final int REMEMBERED = 50_000;

    /**
     * A machine that does not say since when it remembers all, does so for this long: the
     * protocol's least.
     */
    private static final long UNSAID_MEMORY = 30_000_000;

    private final String life;
    private final Map<String, Attempt> byId = new LinkedHashMap<>();
    private final Map<String, Attempt> byRequest = new HashMap<>();
    private final Map<String, Map<String, Attempt>> byMachine = new HashMap<>();

    /** Open ones only, in the order sent: what {@link #tick} looks through. */
    private final Map<String, Attempt> open = new LinkedHashMap<>();

    private final Map<String, String> formerly = new LinkedHashMap<>(); // attempt -> machine
    private long number;

    /**
     * @param life names this life of this placer, unlike any earlier one; attempts are named after
     *     it
     */
    public AttemptTracker(String life) {
        this.life = life;
    }

    /** A name for an attempt about to be offered; no other placer or life uses it. */
    public String begin(
            long now,
            String request,
            int tryNumber,
            String machine,
            long incarnation,
            Idempotency effect,
            long timeout) {
        Attempt a =
                new Attempt(
                        life + "-" + ++number,
                        request,
                        tryNumber,
                        machine,
                        incarnation,
                        effect,
                        now,
                        now + timeout);
        keep(a);
        open.put(a.id, a);
        return a.id;
    }

    private void keep(Attempt a) {
        byId.put(a.id, a);
        byRequest.put(a.request, a);
        byMachine.computeIfAbsent(a.machine, m -> new LinkedHashMap<>()).put(a.id, a);
    }

    private void drop(Attempt a) {
        byId.remove(a.id);
        byRequest.remove(a.request, a);
        byMachine.get(a.machine).remove(a.id);
        open.remove(a.id);
        formerly.put(a.id, a.machine);
        if (formerly.size() > REMEMBERED) {
            formerly.remove(formerly.keySet().iterator().next());
        }
    }

    /**
     * The offer's octets were not all written, so no one can have read the whole of it: it never
     * ran.
     */
    public void notWritten(long now, String attempt, Consumer<Action> actions) {
        Attempt a = byId.get(attempt);
        if (a != null && a.state == State.OPEN) {
            end(now, a, AttemptOutcome.UNREACHABLE, OutcomeReason.NONE, null, actions);
        }
    }

    /** A machine's word; {@code report} may be null. */
    public void reported(
            long now,
            String machine,
            String attempt,
            AttemptStatus word,
            OutcomeReason reason,
            boolean ran,
            LoadReport report,
            Consumer<Action> actions) {
        Attempt a = byId.get(attempt);
        if (a == null || !a.machine.equals(machine)) {
            String was = a == null ? formerly.get(attempt) : a.machine;
            boolean ours = isOwn(attempt);
            if (ours && !machine.equals(was)) {
                actions.accept(
                        new ProtocolViolation(
                                machine, "attempt " + attempt + " was not offered to this node"));
            } else if (word == AttemptStatus.ACCEPTED || word == AttemptStatus.RUNNING) {
                actions.accept(
                        new CancelAttempt(
                                machine, attempt)); // given up meanwhile: it must not stay
            }
            return;
        }
        switch (word) {
            case ACCEPTED -> place(now, a, actions);
            case RUNNING -> {
                place(
                        now, a,
                        actions); // running proves acceptance, also where that answer was lost
                if (!a.runs) {
                    a.runs = true;
                    actions.accept(
                            new NotifyPolicy(
                                    new TaskObserved(
                                            a.request,
                                            a.number,
                                            machine,
                                            ObservationKind.RUNNING,
                                            1)));
                }
            }
            case REJECTED -> {
                if (a.state == State.OPEN) {
                    actions.accept(new OfferRejected(a.request, machine, reason));
                    end(now, a, AttemptOutcome.REJECTED, reason, report, actions);
                }
            }
            case COMPLETED ->
                    over(
                            now,
                            a,
                            AttemptOutcome.COMPLETED,
                            OutcomeReason.NONE,
                            TerminationCause.COMPLETED,
                            report,
                            actions);
            case EVICTED ->
                    over(
                            now,
                            a,
                            AttemptOutcome.LOST,
                            OutcomeReason.EVICTED,
                            TerminationCause.EVICTED,
                            report,
                            actions);
            case EVACUATED ->
                    over(
                            now,
                            a,
                            AttemptOutcome.LOST,
                            OutcomeReason.EVACUATED,
                            TerminationCause.EVICTED,
                            report,
                            actions);
            case CANCELLED -> {
                if (a.state == State.PLACED) {
                    over(
                            now,
                            a,
                            AttemptOutcome.CANCELLED,
                            OutcomeReason.NONE,
                            TerminationCause.STOPPED,
                            report,
                            actions);
                } else {
                    end(
                            now,
                            a,
                            ran ? AttemptOutcome.CANCELLED : AttemptOutcome.REJECTED,
                            OutcomeReason.UNAVAILABLE,
                            report,
                            actions);
                }
            }
        }
    }

    /** What own tasks use, as their machine reports it. */
    public void usageReported(
            String machine, String attempt, double cores, double memory, Consumer<Action> actions) {
        Attempt a = byId.get(attempt);
        if (a != null && a.machine.equals(machine) && a.state == State.PLACED) {
            actions.accept(
                    new NotifyPolicy(
                            new TaskObserved(
                                    a.request,
                                    a.number,
                                    machine,
                                    ObservationKind.CORES_USED,
                                    cores)));
            actions.accept(
                    new NotifyPolicy(
                            new TaskObserved(
                                    a.request,
                                    a.number,
                                    machine,
                                    ObservationKind.MEMORY_USED,
                                    memory)));
        }
    }

    private void place(long now, Attempt a, Consumer<Action> actions) {
        if (a.state == State.OPEN) {
            a.state = State.PLACED;
            open.remove(a.id);
            actions.accept(
                    new NotifyPolicy(
                            new AttemptAccepted(a.request, a.number, a.machine, now - a.sentAt)));
            actions.accept(new RequestPlaced(a.request, a.machine));
        }
    }

    private void end(
            long now,
            Attempt a,
            AttemptOutcome outcome,
            OutcomeReason reason,
            LoadReport report,
            Consumer<Action> actions) {
        drop(a);
        if (a.effect != Idempotency.IDEMPOTENT
                && (outcome == AttemptOutcome.REJECTED || outcome == AttemptOutcome.UNREACHABLE)) {
            actions.accept(new NeverRan(a.request, a.id));
        }
        actions.accept(
                new NotifyPolicy(
                        new AttemptEnded(
                                a.request,
                                a.number,
                                a.machine,
                                outcome,
                                now - a.sentAt,
                                false,
                                reason,
                                report)));
    }

    /** The end of a task that was placed, or that proves by its end that it had been. */
    private void over(
            long now,
            Attempt a,
            AttemptOutcome outcome,
            OutcomeReason reason,
            TerminationCause fate,
            LoadReport report,
            Consumer<Action> actions) {
        place(now, a, actions);
        drop(a);
        TerminationCause told =
                a.wanted != null && fate == TerminationCause.STOPPED ? a.wanted : fate;
        actions.accept(
                new NotifyPolicy(
                        new AttemptEnded(
                                a.request,
                                a.number,
                                a.machine,
                                outcome,
                                now - a.sentAt,
                                true,
                                reason,
                                report)));
        actions.accept(new TaskTerminated(a.request, a.machine, told));
    }

    /**
     * The connection to a machine broke. What may be repeated freely is given up; the rest waits
     * for proof.
     */
    public void connectionLost(long now, String machine, Consumer<Action> actions) {
        for (Attempt a : at(machine)) {
            if (a.state == State.OPEN && a.effect == Idempotency.IDEMPOTENT) {
                end(now, a, AttemptOutcome.LOST, OutcomeReason.NONE, null, actions);
            }
        }
    }

    /**
     * A machine is connected and says what it holds of this placer's, in {@code held}.
     *
     * <p>The node dials again only after its former connection is closed for it, so nothing sent on
     * that one can still reach it: what the inventory of the same life does not hold, and whose end
     * it has not told before with its last answers, was never received; as far back as the machine
     * remembers.
     *
     * @param running those of {@code held} that run
     * @param since by effect, since when it remembers all that it accepted
     */
    public void inventory(
            long now,
            String machine,
            long incarnation,
            Set<String> held,
            Set<String> running,
            Map<Idempotency, Long> since,
            Consumer<Action> actions) {
        for (Attempt a : at(machine)) {
            if (a.incarnation != incarnation) {
                continue; // of an earlier life: lifeOver ends those
            }
            if (held.contains(a.id)) {
                place(now, a, actions);
            } else if (a.state == State.OPEN) {
                // guards against a machine that had to forget how an attempt ended: its silence
                // then proves nothing
                boolean remembers = a.sentAt > since.getOrDefault(a.effect, now - UNSAID_MEMORY);
                end(
                        now,
                        a,
                        remembers ? AttemptOutcome.UNREACHABLE : AttemptOutcome.LOST,
                        OutcomeReason.NONE,
                        null,
                        actions);
            } else {
                over(
                        now,
                        a,
                        AttemptOutcome.LOST,
                        OutcomeReason.NONE,
                        a.wanted == null ? TerminationCause.LOST : a.wanted,
                        null,
                        actions);
            }
        }
        for (String id : new LinkedHashSet<>(held)) {
            if (byId.containsKey(id)) {
                if (running.contains(id)) {
                    reported(
                            now,
                            machine,
                            id,
                            AttemptStatus.RUNNING,
                            OutcomeReason.NONE,
                            true,
                            null,
                            actions);
                }
            } else if (isOwn(id)) {
                actions.accept(
                        new CancelAttempt(
                                machine, id)); // given up while it was away: its owner was told so
            } else {
                actions.accept(new AdoptTask(machine, id));
            }
        }
    }

    /** Work of a former life, taken over: placed as attempt 0 of {@code requestId}. */
    public void adopted(
            long now,
            String attempt,
            String request,
            String machine,
            long incarnation,
            Idempotency effect,
            boolean runs) {
        Attempt a = new Attempt(attempt, request, 0, machine, incarnation, effect, now, now);
        a.state = State.PLACED;
        a.runs = runs;
        keep(a);
    }

    /** A life of the machine is over: what was placed there is lost, what was open may have run. */
    public void incarnationEnded(
            long now, String machine, long incarnation, Consumer<Action> actions) {
        for (Attempt a : at(machine)) {
            if (a.incarnation > incarnation) {
                continue;
            }
            if (a.state == State.OPEN) {
                end(now, a, AttemptOutcome.LOST, OutcomeReason.NONE, null, actions);
            } else {
                over(
                        now,
                        a,
                        AttemptOutcome.LOST,
                        OutcomeReason.NONE,
                        a.wanted == null ? TerminationCause.LOST : a.wanted,
                        null,
                        actions);
            }
        }
    }

    /** Nobody wants the request any more, or the module moves it: its attempt is withdrawn. */
    public void cancel(String request, TerminationCause fate, Consumer<Action> actions) {
        Attempt a = byRequest.get(request);
        if (a != null) {
            a.wanted = fate;
            actions.accept(new CancelAttempt(a.machine, a.id));
        }
    }

    /** Time passes: attempts that were not answered in their time are given up, and withdrawn. */
    public void tick(long now, Consumer<Action> actions) {
        if (open.isEmpty()) {
            return;
        }
        for (Attempt a : new ArrayList<>(open.values())) {
            if (now >= a.until) {
                actions.accept(new CancelAttempt(a.machine, a.id));
                if (byId.get(a.id)
                        == a) { // else it was never sent, and the withdrawal has ended it
                    end(now, a, AttemptOutcome.TIMED_OUT, OutcomeReason.NONE, null, actions);
                }
            }
        }
    }

    /** Whether the attempt is open: offered, or about to be, and without an outcome. */
    public boolean isOpen(String attempt) {
        return open.containsKey(attempt);
    }

    /** Whether an attempt is of this life of the placer. */
    public boolean isOwn(String attempt) {
        return attempt.startsWith(life + "-");
    }

    private Collection<Attempt> at(String machine) {
        return new ArrayList<>(byMachine.getOrDefault(machine, Map.of()).values());
    }

    /** Attempts held on a machine, open ones among them. */
    public int count(String machine) {
        return byMachine.getOrDefault(machine, Map.of()).size();
    }

    public int size() {
        return byId.size();
    }
}
