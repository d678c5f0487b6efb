package thornferry.decisions.recovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.TaskSpec;
import thornferry.decisions.requests.Uncertainty;

/**
 * What former lives of this placer promised and may have started, and what becomes of it: from the
 * journal, as far as there is one, and from what machines remember when they register. An ask for a
 * task in doubt is held until the machines that may have run it prove that it did or did not; what
 * nothing can prove any more is told as may have run.
 *
 * <p><b>What proves what</b>, for an attempt of a former life that was offered to a machine:
 *
 * <ul>
 *   <li>its inventory holds it: it is there, and taken over (by {@code AttemptTracker} and {@code
 *       RequestTracker}, not here);
 *   <li>it remembers its end: it was placed, and is over;
 *   <li>it remembers having turned it down or dropped it unstarted: it never ran;
 *   <li>the same life of the machine neither holds nor remembers it, and remembers all since before
 *       the offer: the offer never reached it, for it registers only when the former connection is
 *       closed for it;
 *   <li>another life of the machine, or one that had to forget: nothing, now or later.
 * </ul>
 *
 * <p>The same state is kept of this life's tasks, as what a compacted journal must hold. No I/O and
 * no clock; times are microseconds since 1970.
 */
public final class Recovery {
    /**
     * @param retentionMicros a result is kept so long after the task has failed or is over
     * @param maxWaitMicros an owner may ask again for so long after an offer: the longest patience
     * @param goneAfterMicros a machine that has not registered so long after the start is gone, and
     *     what it ran is lost
     * @param maxTasks tasks remembered at once; beyond it the oldest that are over are forgotten
     * @param journaled whether a whole journal tells what former lives promised
     */
    public record Limits(
            long retentionMicros,
            long maxWaitMicros,
            long goneAfterMicros,
            int maxTasks,
            boolean journaled) {
        public Limits {
            if (retentionMicros <= 0
                    || maxWaitMicros <= 0
                    || goneAfterMicros <= 0
                    || maxTasks < 1) {
                throw new IllegalArgumentException("recovery limits must be above 0");
            }
        }

        /** For so long machines must remember what they ran. */
        public long machineRetentionMicros() {
            return retentionMicros + maxWaitMicros;
        }
    }

    public sealed interface Action {}

    /**
     * A former life gave this result; {@code terminationCause} null while it is not known to be
     * over.
     */
    public record Restored(
            String owner,
            String tenant,
            TaskSpec spec,
            RequestResult result,
            String machine,
            String reason,
            TerminationCause terminationCause)
            implements Action {}

    /**
     * The task was placed in a former life, on this machine, and is over.
     *
     * @param alreadyNotified its owner may have been told so already: where nobody asks, it is kept
     *     and not told again
     */
    public record FinishedEarlier(
            String owner,
            String tenant,
            TaskSpec spec,
            String machine,
            TerminationCause terminationCause,
            boolean alreadyNotified)
            implements Action {}

    /** The task started in a former life and did not run to its end: its result is a failure. */
    public record Failed(String owner, String tenant, TaskSpec spec, String reason)
            implements Action {}

    /** No attempt of the task ever ran: an ask that is held may go on. */
    public record ProvenNotRun(String owner, String task) implements Action {}

    /** No proof can come any more: an ask that is held fails. */
    public record BecameIndeterminate(String owner, String task, String machine)
            implements Action {}

    private record OutstandingAttempt(String machine, long incarnation, long at) {}

    private static final class TaskState {
        final String owner;
        final String tenant;
        final TaskSpec wish;
        final Idempotency effect;
        final Map<String, OutstandingAttempt> open =
                new LinkedHashMap<>(); // attempts not proven never to have run
        JournalRecord.Completed answered;
        JournalRecord.Finished finished;
        boolean former; // of a former life and not settled by this one
        String unprovable = ""; // the machine whose word can never come
        long forgetAt;

        TaskState(String owner, String tenant, TaskSpec wish, Idempotency effect) {
            this.owner = owner;
            this.tenant = tenant;
            this.wish = wish;
            this.effect = effect;
        }

        boolean placed() {
            return answered != null && answered.result() == RequestResult.PLACED;
        }
    }

    /** Entries looked at for one to forget early: enough, as the oldest are nearly all over. */
    private static final int LOOKED_AT = 64;

    private static final String STOPPED_BY_PLACER = "it had started and was withdrawn";

    private final Limits limits;
    private final Map<String, TaskState> known = new LinkedHashMap<>(); // by owner and task
    private final Map<String, Set<String>> doubts =
            new HashMap<>(); // machine -> keys of former ones with attempts there
    private final LinkedHashSet<String> forgettable =
            new LinkedHashSet<>(); // in about the order of forgetAt
    private long goneAt = Long.MAX_VALUE;

    public Recovery(Limits limits) {
        this.limits = limits;
    }

    private static String key(String owner, String task) {
        return owner.length() + ":" + owner + "/" + task;
    }

    // ---- what is promised, in former lives and in this one ----
    /** Takes a line of the journal: when it is read, and when this life writes it. */
    public void apply(JournalRecord p) {
        if (p instanceof JournalRecord.Offered o) {
            TaskState k = known.get(key(o.owner(), o.spec().id()));
            if (k == null || k.answered != null) {
                // asked anew after its end: what was before is over and done with
                k = new TaskState(o.owner(), o.tenant(), o.spec(), o.idempotency());
                put(k);
            }
            k.open.put(
                    o.attempt(),
                    new OutstandingAttempt(o.machine(), o.incarnation(), o.atMicros()));
            k.forgetAt = o.atMicros() + limits.machineRetentionMicros();
        } else if (p instanceof JournalRecord.NeverRan n) {
            TaskState k = known.get(key(n.owner(), n.task()));
            if (k != null) {
                k.open.remove(n.attempt());
                if (k.open.isEmpty() && k.answered == null) {
                    remove(k);
                }
            }
        } else if (p instanceof JournalRecord.Completed a) {
            TaskState k =
                    known.computeIfAbsent(
                            key(a.owner(), a.spec().id()),
                            x -> new TaskState(a.owner(), a.tenant(), a.spec(), a.idempotency()));
            k.answered = a;
            k.finished = null;
            k.former = false;
            k.forgetAt =
                    a.result() == RequestResult.PLACED
                            ? Long.MAX_VALUE
                            : a.atMicros() + limits.retentionMicros();
            forgettable.remove(key(k.owner, k.wish.id()));
            if (a.result() != RequestResult.PLACED) {
                forgettable.add(key(k.owner, k.wish.id()));
            }
        } else if (p instanceof JournalRecord.Finished f) {
            TaskState k = known.get(key(f.owner(), f.task()));
            if (k != null && k.answered != null) {
                k.finished = f;
                k.former = false;
                k.open.clear();
                k.forgetAt = f.atMicros() + limits.retentionMicros();
                forgettable.add(key(k.owner, k.wish.id()));
            }
        }
    }

    private void put(TaskState k) {
        String key = key(k.owner, k.wish.id());
        known.put(key, k);
        forgettable.remove(key);
        forgettable.add(key);
        if (known.size() > limits.maxTasks()) {
            forgettable.stream()
                    .limit(LOOKED_AT)
                    .map(known::get)
                    .filter(x -> x != null && x.answered != null)
                    .findFirst()
                    .ifPresent(this::remove);
        }
    }

    private void remove(TaskState k) {
        String key = key(k.owner, k.wish.id());
        known.remove(key, k);
        forgettable.remove(key);
    }

    /** The fewest lines that say all this: what a compacted journal begins with. */
    public List<JournalRecord> snapshot() {
        List<JournalRecord> all = new ArrayList<>();
        for (TaskState k : known.values()) {
            k.open.forEach(
                    (attempt, o) ->
                            all.add(
                                    new JournalRecord.Offered(
                                            o.at(),
                                            attempt,
                                            k.owner,
                                            k.tenant,
                                            k.wish,
                                            k.effect,
                                            o.machine(),
                                            o.incarnation())));
            if (k.answered != null) {
                all.add(k.answered);
            }
            if (k.finished != null) {
                all.add(k.finished);
            }
        }
        return all;
    }

    // ---- the start ----
    /**
     * The journal is read: from here on, what it left open is in doubt, and what it placed waits
     * for its machines.
     */
    public void begin(long now, Consumer<Action> actions) {
        goneAt = now + limits.goneAfterMicros();
        for (TaskState k : List.copyOf(known.values())) {
            if (now >= k.forgetAt) {
                remove(k);
                continue;
            }
            // guards against a journal from a clock ahead of ours: what lies in the future is as
            // old as this moment
            if (k.forgetAt != Long.MAX_VALUE) {
                k.forgetAt = Math.min(k.forgetAt, now + limits.machineRetentionMicros());
            }
            if (k.placed()) {
                k.former = k.finished == null;
            } else {
                k.former = k.answered == null;
            }
            if (k.answered != null) {
                actions.accept(
                        new Restored(
                                k.owner,
                                k.tenant,
                                k.wish,
                                k.answered.result(),
                                k.answered.machine(),
                                k.answered.reason(),
                                k.finished == null ? null : k.finished.terminationCause()));
            }
            if (k.former) {
                String key = key(k.owner, k.wish.id());
                Set<String> machines = new LinkedHashSet<>();
                if (k.placed()) {
                    machines.add(k.answered.machine());
                } else {
                    k.open.values().forEach(o -> machines.add(o.machine()));
                }
                machines.forEach(
                        m -> doubts.computeIfAbsent(m, x -> new LinkedHashSet<>()).add(key));
            }
        }
    }

    /** What may have become of a task in former lives; to be asked before it is handed on. */
    public Uncertainty uncertaintyOf(String owner, String task) {
        TaskState k = known.get(key(owner, task));
        if (k == null || !k.former || k.answered != null) {
            return Uncertainty.NONE;
        }
        return k.unprovable.isEmpty() ? Uncertainty.PENDING_PROOF : Uncertainty.MAY_HAVE_RUN;
    }

    /** The machine whose word is lacking, or can never come, of a task in doubt; empty for none. */
    public String machineAwaited(String owner, String task) {
        TaskState k = known.get(key(owner, task));
        return k == null || !k.former
                ? ""
                : !k.unprovable.isEmpty()
                        ? k.unprovable
                        : k.open.values().stream()
                                .map(OutstandingAttempt::machine)
                                .findFirst()
                                .orElse("");
    }

    // ---- machines ----
    /**
     * A machine registers. What it holds must already have been taken over.
     *
     * @param ours tells attempts of this life, which are not judged here
     */
    public void machineRegistered(
            long now, MachineInventory t, Predicate<String> ours, Consumer<Action> actions) {
        for (RetainedAttempt r : t.retainedAttempts()) {
            if (!ours.test(r.attempt()) && r.idempotency() != Idempotency.IDEMPOTENT) {
                recalls(now, t.machine(), r, actions);
            }
        }
        Set<String> keys = doubts.getOrDefault(t.machine(), Set.of());
        for (String key : List.copyOf(keys)) {
            TaskState k = known.get(key);
            if (k == null || !k.former) {
                keys.remove(key);
                continue;
            }
            if (k.placed()) {
                // what it holds was taken over before, so this it has no more, and does not know
                // how it ended
                actions.accept(
                        new FinishedEarlier(
                                k.owner,
                                k.tenant,
                                k.wish,
                                t.machine(),
                                TerminationCause.LOST,
                                false));
                continue;
            }
            for (Map.Entry<String, OutstandingAttempt> e : List.copyOf(k.open.entrySet())) {
                OutstandingAttempt o = e.getValue();
                if (o.machine().equals(t.machine()) && !t.heldAttempts().contains(e.getKey())) {
                    judge(now, k, e.getKey(), o, t, actions);
                }
            }
        }
    }

    private void recalls(long now, String machine, RetainedAttempt r, Consumer<Action> actions) {
        TaskState k = known.get(key(r.owner(), r.spec().id()));
        boolean settled = k != null && !k.former;
        if (settled) {
            return; // this life has its own result of it
        }
        TerminationCause fate =
                switch (r.status()) {
                    case COMPLETED -> TerminationCause.COMPLETED;
                    case EVICTED, EVACUATED -> TerminationCause.EVICTED;
                    default -> null;
                };
        String tenant = k == null ? "" : k.tenant;
        if (fate != null) {
            if (k != null) {
                k.open.remove(r.attempt());
            }
            // without a line of ours, only its age tells whether its result is still to be told or
            // long forgotten
            boolean told =
                    k == null
                            && (limits.journaled()
                                    || r.endedAtMicros() < now - limits.retentionMicros());
            actions.accept(new FinishedEarlier(r.owner(), tenant, r.spec(), machine, fate, told));
        } else if (r.status() == AttemptStatus.CANCELLED && r.ran()) {
            if (k != null && k.placed()) {
                actions.accept(
                        new FinishedEarlier(
                                r.owner(),
                                tenant,
                                r.spec(),
                                machine,
                                TerminationCause.STOPPED,
                                false));
            } else {
                actions.accept(new Failed(r.owner(), tenant, r.spec(), STOPPED_BY_PLACER));
            }
        } else if (k != null && k.open.containsKey(r.attempt())) {
            never(k, r.attempt(), actions);
        }
    }

    /** An attempt in doubt on a machine that has come back without a word of it. */
    private void judge(
            long now,
            TaskState k,
            String attempt,
            OutstandingAttempt o,
            MachineInventory t,
            Consumer<Action> actions) {
        long since = t.completeSinceMicros().getOrDefault(k.effect, Long.MAX_VALUE);
        // guards against a clock set back between two lives: an offer that seems to lie ahead
        // cannot be compared
        boolean remembers =
                since == MachineInventory.WHOLE_INCARNATION || o.at() > since && o.at() <= now;
        if (o.incarnation() == t.incarnation() && remembers) {
            never(k, attempt, actions);
        } else {
            k.unprovable = t.machine();
            actions.accept(new BecameIndeterminate(k.owner, k.wish.id(), t.machine()));
        }
    }

    private void never(TaskState k, String attempt, Consumer<Action> actions) {
        k.open.remove(attempt);
        if (k.open.isEmpty()) {
            remove(k);
            actions.accept(new ProvenNotRun(k.owner, k.wish.id()));
        }
    }

    // ---- time ----
    /**
     * Time passes: what is kept long enough is forgotten, and what runs on machines that never came
     * is lost.
     */
    public void tick(long now, Consumer<Action> actions) {
        if (now >= goneAt) {
            goneAt = Long.MAX_VALUE;
            for (TaskState k : List.copyOf(known.values())) {
                if (k.former && k.placed()) {
                    actions.accept(
                            new FinishedEarlier(
                                    k.owner,
                                    k.tenant,
                                    k.wish,
                                    k.answered.machine(),
                                    TerminationCause.LOST,
                                    false));
                }
            }
        }
        while (!forgettable.isEmpty()) {
            TaskState oldest = known.get(forgettable.iterator().next());
            if (oldest != null && now < oldest.forgetAt) {
                break;
            }
            forgettable.remove(forgettable.iterator().next());
            if (oldest != null && oldest.forgetAt != Long.MAX_VALUE) {
                known.remove(key(oldest.owner, oldest.wish.id()), oldest);
            }
        }
    }

    public Limits limits() {
        return limits;
    }

    /** Tasks remembered. */
    public int size() {
        return known.size();
    }
}
