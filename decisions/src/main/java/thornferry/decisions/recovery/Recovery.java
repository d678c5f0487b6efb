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
import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Attempts.Word;
import thornferry.decisions.Intake.Result;
import thornferry.decisions.Intake.Wish;
import thornferry.decisions.Placement.Effect;

/**
 * What former lives of this placer promised and may have started, and what becomes of it: from the
 * journal, as far as there is one, and from what machines remember when they register. An ask for a
 * task in doubt is held until the machines that may have run it prove that it did or did not; what
 * nothing can prove any more is told as may have run.
 *
 * <p><b>What proves what</b>, for an attempt of a former life that was offered to a machine:
 *
 * <ul>
 *   <li>its inventory holds it: it is there, and taken over (by {@code Attempts} and {@code
 *       Intake}, not here);
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
     * @param keepFor a result is kept so long after the task has failed or is over
     * @param askedFor an owner may ask again for so long after an offer: the longest patience
     * @param goneAfter a machine that has not registered so long after the start is gone, and what
     *     it ran is lost
     * @param most tasks remembered at once; beyond it the oldest that are over are forgotten
     * @param journaled whether a whole journal tells what former lives promised
     */
    public record Limits(long keepFor, long askedFor, long goneAfter, int most, boolean journaled) {
        public Limits {
            if (keepFor <= 0 || askedFor <= 0 || goneAfter <= 0 || most < 1) {
                throw new IllegalArgumentException("recovery limits must be above 0");
            }
        }

        /** For so long machines must remember what they ran. */
        public long remember() {
            return keepFor + askedFor;
        }
    }

    /** What is known of a task that is asked for. */
    public enum Doubt {
        /** No attempt of a former life can have run. */
        NONE,
        /** One may have, and proof may come: hold the ask. */
        HELD,
        /** One may have, and no proof can come any more. */
        MAY_HAVE_RUN
    }

    /** What a machine remembers of an attempt that is over there since {@code endedAt}. */
    public record Recalled(
            String attempt,
            String owner,
            Wish wish,
            Effect effect,
            Word word,
            boolean ran,
            long endedAt) {}

    /**
     * What a machine says when it registers: what it holds, what it remembers, and since when it
     * remembers all that it accepted of an effect, {@link #ITS_WHOLE_LIFE} where it forgot nothing
     * in this life; absent where it does not say.
     */
    public record Testimony(
            String machine,
            long incarnation,
            Set<String> held,
            List<Recalled> recalled,
            Map<Effect, Long> since) {
        public static final long ITS_WHOLE_LIFE = Long.MIN_VALUE;
    }

    public sealed interface Action {}

    /** A former life gave this result; {@code fate} null while it is not known to be over. */
    public record Restored(
            String owner,
            String tenant,
            Wish wish,
            Result result,
            String machine,
            String reason,
            Fate fate)
            implements Action {}

    /**
     * The task was placed in a former life, on this machine, and is over.
     *
     * @param told its owner may have been told so already: where nobody asks, it is kept and not
     *     told again
     */
    public record Ran(
            String owner, String tenant, Wish wish, String machine, Fate fate, boolean told)
            implements Action {}

    /** The task started in a former life and did not run to its end: its result is a failure. */
    public record Failed(String owner, String tenant, Wish wish, String reason) implements Action {}

    /** No attempt of the task ever ran: an ask that is held may go on. */
    public record Proven(String owner, String task) implements Action {}

    /** No proof can come any more: an ask that is held fails. */
    public record Unprovable(String owner, String task, String machine) implements Action {}

    private record Out(String machine, long incarnation, long at) {}

    private static final class Known {
        final String owner;
        final String tenant;
        final Wish wish;
        final Effect effect;
        final Map<String, Out> open =
                new LinkedHashMap<>(); // attempts not proven never to have run
        Promise.Answered answered;
        Promise.Finished finished;
        boolean former; // of a former life and not settled by this one
        String unprovable = ""; // the machine whose word can never come
        long forgetAt;

        Known(String owner, String tenant, Wish wish, Effect effect) {
            this.owner = owner;
            this.tenant = tenant;
            this.wish = wish;
            this.effect = effect;
        }

        boolean placed() {
            return answered != null && answered.result() == Result.PLACED;
        }
    }

    /** Entries looked at for one to forget early: enough, as the oldest are nearly all over. */
    private static final int LOOKED_AT = 64;

    private static final String STOPPED_BY_PLACER = "it had started and was withdrawn";

    private final Limits limits;
    private final Map<String, Known> known = new LinkedHashMap<>(); // by owner and task
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
    public void note(Promise p) {
        if (p instanceof Promise.Offered o) {
            Known k = known.get(key(o.owner(), o.wish().id()));
            if (k == null || k.answered != null) {
                // asked anew after its end: what was before is over and done with
                k = new Known(o.owner(), o.tenant(), o.wish(), o.effect());
                put(k);
            }
            k.open.put(o.attempt(), new Out(o.machine(), o.incarnation(), o.at()));
            k.forgetAt = o.at() + limits.remember();
        } else if (p instanceof Promise.NeverRan n) {
            Known k = known.get(key(n.owner(), n.task()));
            if (k != null) {
                k.open.remove(n.attempt());
                if (k.open.isEmpty() && k.answered == null) {
                    remove(k);
                }
            }
        } else if (p instanceof Promise.Answered a) {
            Known k =
                    known.computeIfAbsent(
                            key(a.owner(), a.wish().id()),
                            x -> new Known(a.owner(), a.tenant(), a.wish(), a.effect()));
            k.answered = a;
            k.finished = null;
            k.former = false;
            k.forgetAt = a.result() == Result.PLACED ? Long.MAX_VALUE : a.at() + limits.keepFor();
            forgettable.remove(key(k.owner, k.wish.id()));
            if (a.result() != Result.PLACED) {
                forgettable.add(key(k.owner, k.wish.id()));
            }
        } else if (p instanceof Promise.Finished f) {
            Known k = known.get(key(f.owner(), f.task()));
            if (k != null && k.answered != null) {
                k.finished = f;
                k.former = false;
                k.open.clear();
                k.forgetAt = f.at() + limits.keepFor();
                forgettable.add(key(k.owner, k.wish.id()));
            }
        }
    }

    private void put(Known k) {
        String key = key(k.owner, k.wish.id());
        known.put(key, k);
        forgettable.remove(key);
        forgettable.add(key);
        if (known.size() > limits.most()) {
            forgettable.stream()
                    .limit(LOOKED_AT)
                    .map(known::get)
                    .filter(x -> x != null && x.answered != null)
                    .findFirst()
                    .ifPresent(this::remove);
        }
    }

    private void remove(Known k) {
        String key = key(k.owner, k.wish.id());
        known.remove(key, k);
        forgettable.remove(key);
    }

    /** The fewest lines that say all this: what a compacted journal begins with. */
    public List<Promise> snapshot() {
        List<Promise> all = new ArrayList<>();
        for (Known k : known.values()) {
            k.open.forEach(
                    (attempt, o) ->
                            all.add(
                                    new Promise.Offered(
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
        goneAt = now + limits.goneAfter();
        for (Known k : List.copyOf(known.values())) {
            if (now >= k.forgetAt) {
                remove(k);
                continue;
            }
            // guards against a journal from a clock ahead of ours: what lies in the future is as
            // old as this moment
            if (k.forgetAt != Long.MAX_VALUE) {
                k.forgetAt = Math.min(k.forgetAt, now + limits.remember());
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
                                k.finished == null ? null : k.finished.fate()));
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
    public Doubt doubt(String owner, String task) {
        Known k = known.get(key(owner, task));
        if (k == null || !k.former || k.answered != null) {
            return Doubt.NONE;
        }
        return k.unprovable.isEmpty() ? Doubt.HELD : Doubt.MAY_HAVE_RUN;
    }

    /** The machine whose word is lacking, or can never come, of a task in doubt; empty for none. */
    public String suspect(String owner, String task) {
        Known k = known.get(key(owner, task));
        return k == null || !k.former
                ? ""
                : !k.unprovable.isEmpty()
                        ? k.unprovable
                        : k.open.values().stream().map(Out::machine).findFirst().orElse("");
    }

    // ---- machines ----
    /**
     * A machine registers. What it holds must already have been taken over.
     *
     * @param ours tells attempts of this life, which are not judged here
     */
    public void testifies(long now, Testimony t, Predicate<String> ours, Consumer<Action> actions) {
        for (Recalled r : t.recalled()) {
            if (!ours.test(r.attempt()) && r.effect() != Effect.SAFE) {
                recalls(now, t.machine(), r, actions);
            }
        }
        Set<String> keys = doubts.getOrDefault(t.machine(), Set.of());
        for (String key : List.copyOf(keys)) {
            Known k = known.get(key);
            if (k == null || !k.former) {
                keys.remove(key);
                continue;
            }
            if (k.placed()) {
                // what it holds was taken over before, so this it has no more, and does not know
                // how it ended
                actions.accept(new Ran(k.owner, k.tenant, k.wish, t.machine(), Fate.LOST, false));
                continue;
            }
            for (Map.Entry<String, Out> e : List.copyOf(k.open.entrySet())) {
                Out o = e.getValue();
                if (o.machine().equals(t.machine()) && !t.held().contains(e.getKey())) {
                    judge(now, k, e.getKey(), o, t, actions);
                }
            }
        }
    }

    private void recalls(long now, String machine, Recalled r, Consumer<Action> actions) {
        Known k = known.get(key(r.owner(), r.wish().id()));
        boolean settled = k != null && !k.former;
        if (settled) {
            return; // this life has its own result of it
        }
        Fate fate =
                switch (r.word()) {
                    case ENDED -> Fate.ENDED;
                    case EVICTED, SENT_AWAY -> Fate.EVICTED;
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
                    k == null && (limits.journaled() || r.endedAt() < now - limits.keepFor());
            actions.accept(new Ran(r.owner(), tenant, r.wish(), machine, fate, told));
        } else if (r.word() == Word.WITHDRAWN && r.ran()) {
            if (k != null && k.placed()) {
                actions.accept(new Ran(r.owner(), tenant, r.wish(), machine, Fate.STOPPED, false));
            } else {
                actions.accept(new Failed(r.owner(), tenant, r.wish(), STOPPED_BY_PLACER));
            }
        } else if (k != null && k.open.containsKey(r.attempt())) {
            never(k, r.attempt(), actions);
        }
    }

    /** An attempt in doubt on a machine that has come back without a word of it. */
    private void judge(
            long now, Known k, String attempt, Out o, Testimony t, Consumer<Action> actions) {
        long since = t.since().getOrDefault(k.effect, Long.MAX_VALUE);
        // guards against a clock set back between two lives: an offer that seems to lie ahead
        // cannot be compared
        boolean remembers = since == Testimony.ITS_WHOLE_LIFE || o.at() > since && o.at() <= now;
        if (o.incarnation() == t.incarnation() && remembers) {
            never(k, attempt, actions);
        } else {
            k.unprovable = t.machine();
            actions.accept(new Unprovable(k.owner, k.wish.id(), t.machine()));
        }
    }

    private void never(Known k, String attempt, Consumer<Action> actions) {
        k.open.remove(attempt);
        if (k.open.isEmpty()) {
            remove(k);
            actions.accept(new Proven(k.owner, k.wish.id()));
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
            for (Known k : List.copyOf(known.values())) {
                if (k.former && k.placed()) {
                    actions.accept(
                            new Ran(
                                    k.owner,
                                    k.tenant,
                                    k.wish,
                                    k.answered.machine(),
                                    Fate.LOST,
                                    false));
                }
            }
        }
        while (!forgettable.isEmpty()) {
            Known oldest = known.get(forgettable.iterator().next());
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
