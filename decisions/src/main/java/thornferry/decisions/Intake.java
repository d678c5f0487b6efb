package thornferry.decisions;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import thornferry.decisions.Attempts.Fate;
import thornferry.decisions.Placement.Ask;
import thornferry.decisions.Placement.Effect;
import thornferry.decisions.Placement.Reason;
import thornferry.decisions.Placement.TaskClass;
import thornferry.decisions.recovery.Recovery.Doubt;

/**
 * One result for each ask: what comes in from owners, what the module is asked, and what owners are
 * told.
 *
 * <p>A task is known by its owner and the owner's own name for it, so that owners cannot meet by
 * accident or learn of each other's tasks. Asked again while in hand, nothing more happens; after
 * {@code placed} or {@code failed}, the kept result is given again; after {@code refused}, which
 * says that trying again is harmless, it is asked anew. What could not be told to anyone waits for
 * its owner to subscribe. Times are microseconds.
 */
public final class Intake {
    /**
     * @param inHand tasks without a result at once; beyond it an ask is refused
     * @param kept results and running tasks kept at once; the oldest results are dropped first
     * @param keepFor a result is kept so long after the task has its result or, once placed, its
     *     end
     * @param mostPatience what an ask may at most wait for its result; longer is cut to it
     * @param settle after the start, asks that must not start twice wait so long for nodes to say
     *     what runs and ran; 0 where a whole journal tells what former lives offered
     * @param retryLeast the least retry-after of a refusal; doubles with each refusal of the same
     *     task
     * @param retryMost the most
     */
    public record Limits(
            int inHand,
            int kept,
            long keepFor,
            long mostPatience,
            long settle,
            long retryLeast,
            long retryMost) {
        public Limits {
            if (inHand < 1
                    || kept < 1
                    || keepFor <= 0
                    || mostPatience <= 0
                    || settle < 0
                    || retryLeast <= 0
                    || retryMost < retryLeast) {
                throw new IllegalArgumentException(
                        "intake limits must be above 0, retryMost not under retryLeast");
            }
        }

        /** The same without waiting after the start. */
        public Limits withoutSettling() {
            return new Limits(inHand, kept, keepFor, mostPatience, 0, retryLeast, retryMost);
        }
    }

    public enum Result {
        PLACED,
        REFUSED,
        FAILED
    }

    /**
     * What an owner is told; one of {@code result} and {@code fate} is null. {@code retryAfter}
     * microseconds.
     */
    public record News(
            long number,
            String owner,
            String task,
            Result result,
            Fate fate,
            String machine,
            String reason,
            long retryAfter,
            boolean repeat) {}

    /** A task as its owner asks for it; {@code patience} null where not said, microseconds else. */
    public record Wish(
            String id,
            String taskClass,
            String service,
            String key,
            double cores,
            double memory,
            Long patience,
            long runsFor) {
        /** The same task: patience and run time may differ from one ask to the next. */
        boolean sameShape(Wish o) {
            return id.equals(o.id)
                    && taskClass.equals(o.taskClass)
                    && service.equals(o.service)
                    && key.equals(o.key)
                    && cores == o.cores
                    && memory == o.memory;
        }
    }

    public sealed interface Action {}

    /**
     * A task is asked for and waits; {@code settling} for machines to say what runs, {@code
     * doubted} what it did.
     */
    public record Waits(
            String owner,
            String tenant,
            Wish wish,
            boolean keyed,
            boolean settling,
            boolean doubted)
            implements Action {}

    /**
     * Into the line, to be placed before {@code deadline}; {@code turnedBy} turned it down last,
     * empty for none.
     */
    public record Hand(
            Ask ask, String owner, Wish wish, double worth, long deadline, String turnedBy)
            implements Action {}

    /**
     * The request has its result; before {@link Deliver}. {@code request} null where it never went
     * into the line.
     */
    public record Answered(
            String request,
            String owner,
            String tenant,
            Wish wish,
            Effect effect,
            Result result,
            String machine,
            String reason)
            implements Action {}

    /**
     * The placed task is over; before {@link Deliver}. {@code request} null where this life did not
     * look after it.
     */
    public record Finished(String request, String owner, String task, Effect effect, Fate fate)
            implements Action {}

    /** Tell the owner; {@link #delivered} says when it was told. */
    public record Deliver(News news) implements Action {}

    /** Nobody waits for the request: tell the module, and withdraw an attempt that is out. */
    public record Abandon(String request, Fate fate) implements Action {}

    /**
     * What an offer to a machine needs to know of its request; {@code number} counts the offers,
     * from 0.
     */
    public record Offered(String owner, Wish wish, Effect effect, int number) {}

    /** A wish that cannot be taken; nothing has changed. */
    public static final class Unacceptable extends Exception {
        private static final long serialVersionUID = 1;

        Unacceptable(String message) {
            super(message, null, false, false);
        }
    }

    private enum State {
        SETTLING,
        IN_HAND,
        REFUSED,
        FAILED,
        PLACED,
        OVER
    }

    private static final class Entry {
        final String key;
        final String owner;
        final String tenant;
        Wish wish; // of the latest ask
        final TaskClass cls;
        State state;
        String request;
        long deadline;
        int offers; // for this request
        int asked; // how often it was handed to the module
        String why = "";
        String turnedBy = "";
        String machine = "";
        News result;
        News event;
        Fate fate;
        long forgetAt;
        boolean doubted; // it may have run in a former life, and proof may come
        boolean unconfirmed; // placed by a former life, and its machine has not said yet that it

        // has it

        Entry(String key, String owner, String tenant, Wish wish, TaskClass cls) {
            this.key = key;
            this.owner = owner;
            this.tenant = tenant;
            this.wish = wish;
            this.cls = cls;
        }

        /**
         * Whether an ask now is a new one. After a placed task was lost, evicted or moved its owner
         * may well ask for it again; but never by the same name where a second start does harm, for
         * the first one did start.
         */
        boolean askedAnew() {
            return state == State.REFUSED
                    || state == State.OVER
                            && cls.effect() != Effect.UNSAFE
                            && (fate == Fate.LOST || fate == Fate.EVICTED || fate == Fate.MOVED);
        }

        boolean answered() {
            return state != State.SETTLING && state != State.IN_HAND;
        }
    }

    private record Due(long at, Entry entry, String request) {}

    private static final String MAY_HAVE_RUN = "it may have run in a former life of the placer";

    /** The module answers before patience ends; so much after, an answer is given in its stead. */
    private static final long BACKSTOP = 2_000;

    /**
     * A tick that comes so late after the one before: we stood still, and heard nobody meanwhile.
     */
    private static final long TICK_LATE = 200_000;

    /**
     * Undelivered news for each owner; the oldest are dropped, their results can still be asked for
     * again.
     */
    private static final int MOST_PENDING = 10_000;

    /**
     * Tasks whose kept result was dropped early are remembered by their name's hash, so many at
     * most.
     */
    private static final int MOST_FORGOTTEN = 200_000;

    private final Limits limits;
    private final SplittableRandom random;
    private final Map<String, TaskClass> classes = new HashMap<>();
    private final Map<String, Entry> entries = new LinkedHashMap<>(); // by owner and task
    private final Map<String, Entry> byRequest = new HashMap<>();
    private final PriorityQueue<Due> deadlines =
            new PriorityQueue<>((a, b) -> Long.compare(a.at(), b.at()));
    private final LinkedHashMap<String, Entry> finished =
            new LinkedHashMap<>(); // in the order of forgetAt
    private final Map<String, LinkedHashMap<Long, News>> pending = new HashMap<>(); // by owner
    private final LinkedHashMap<Long, Long> forgotten = new LinkedHashMap<>(); // hash -> until
    private final List<Entry> settling = new ArrayList<>();
    private long settleUntil;
    private long lastTick;
    private String unable = "";
    private int inHand;
    private long requests;
    private long newsNumber;

    /**
     * @param seed for the spread of retry-after
     */
    public Intake(Limits limits, List<TaskClass> classes, long seed, long now) {
        this.limits = limits;
        this.random = new SplittableRandom(seed);
        this.settleUntil = now + limits.settle();
        this.lastTick = now;
        classes.forEach(c -> this.classes.put(c.name(), c));
    }

    private static String key(String owner, String task) {
        return owner.length() + ":" + owner + "/" + task;
    }

    // ---- asks ----
    /** An owner asks for a task that no former life can have started; see the other. */
    public void ask(long now, String owner, String tenant, Wish wish, Consumer<Action> actions)
            throws Unacceptable {
        ask(now, owner, tenant, wish, Doubt.NONE, actions);
    }

    /**
     * An owner asks for a task. When it returns, the ask is taken: its result will come.
     *
     * @param doubt whether it may have run in a former life of this placer; one that is held waits
     *     for {@link #proven}, {@link #ran}, {@link #adopt} or {@link #mayHaveRun}, and fails at
     *     the end of its patience
     */
    public void ask(
            long now, String owner, String tenant, Wish wish, Doubt doubt, Consumer<Action> actions)
            throws Unacceptable {
        TaskClass cls = checked(wish);
        stoodStill(now);
        String key = key(owner, wish.id());
        Entry e = entries.get(key);
        if (e != null && !e.wish.sameShape(wish)) {
            throw new Unacceptable("task " + wish.id() + " is known with another shape");
        }
        if (e != null && !e.askedAnew()) {
            if (e.answered()) {
                e.result = repeat(e.result, actions);
                e.event = repeat(e.event, actions);
            }
            return; // in hand: its result is on its way
        }
        if (e == null) {
            e = new Entry(key, owner, tenant, wish, cls);
            Long until = forgotten.get(hash(key));
            entries.put(key, e);
            if (until != null && now < until) {
                answer(
                        now,
                        e,
                        Result.FAILED,
                        "",
                        "it was known before and its result is no longer kept",
                        0,
                        actions);
                return;
            }
        }
        // guards against an answer to the former ask, undelivered till now, being taken for that to
        // this one
        forgetNews(e.result);
        forgetNews(e.event);
        finished.remove(key);
        e.wish = wish;
        e.fate = null;
        e.event = null;
        e.deadline =
                now
                        + Math.min(
                                limits.mostPatience(),
                                wish.patience() == null ? cls.deadline() : wish.patience());
        e.doubted = doubt == Doubt.HELD;
        boolean settles = e.doubted || now < settleUntil && cls.effect() == Effect.UNSAFE;
        actions.accept(
                new Waits(owner, tenant, wish, cls.effect() == Effect.KEYED, settles, e.doubted));
        if (inHand >= limits.inHand()) {
            answer(
                    now,
                    e,
                    Result.REFUSED,
                    "",
                    "the placer has as many tasks in hand as it may: " + limits.inHand(),
                    retryAfter(e),
                    actions);
            return;
        }
        if (doubt == Doubt.MAY_HAVE_RUN) {
            answer(now, e, Result.FAILED, "", MAY_HAVE_RUN, 0, actions);
            return;
        }
        if (!unable.isEmpty() && cls.effect() != Effect.SAFE) {
            answer(now, e, Result.REFUSED, "", unable, retryAfter(e), actions);
            return;
        }
        inHand++;
        e.why = "";
        if (settles) {
            // guards against a second start: after a restart of the placer it may run, and its node
            // tells us soon
            e.state = State.SETTLING;
            e.request = null;
            settling.add(e);
        } else {
            hand(now, e, actions);
        }
    }

    /**
     * Guards against a start so slow that the time to settle is over before any node could be
     * heard.
     */
    private void stoodStill(long now) {
        if (lastTick < settleUntil && now - lastTick > TICK_LATE) {
            settleUntil += now - lastTick;
        }
        lastTick = now;
    }

    /** Tells kept news again, in the place of what may still wait to be told. */
    private News repeat(News kept, Consumer<Action> actions) {
        if (kept == null) {
            return null;
        }
        forgetNews(kept);
        News again =
                new News(
                        ++newsNumber,
                        kept.owner(),
                        kept.task(),
                        kept.result(),
                        kept.fate(),
                        kept.machine(),
                        kept.reason(),
                        kept.retryAfter(),
                        true);
        deliver(again, actions);
        return again;
    }

    private TaskClass checked(Wish w) throws Unacceptable {
        if (w.id().isEmpty() || w.id().length() > 128) {
            throw new Unacceptable("id must have 1 to 128 characters");
        }
        TaskClass cls = classes.get(w.taskClass());
        if (cls == null) {
            throw new Unacceptable(
                    "taskClass "
                            + (w.taskClass().isEmpty()
                                    ? "is missing"
                                    : w.taskClass() + " is not known")
                            + "; known: "
                            + String.join(", ", classes.keySet().stream().sorted().toList()));
        }
        if (!(w.cores() > 0) || !(w.memory() > 0) || w.cores() > 1e9 || w.memory() > 1e9) {
            throw new Unacceptable("cores and memory must be numbers above 0");
        }
        if (w.service().isEmpty() || w.service().length() > 128 || w.key().length() > 128) {
            throw new Unacceptable("service must have 1 to 128 characters, key at most 128");
        }
        if (cls.effect() == Effect.KEYED && w.key().isEmpty()) {
            throw new Unacceptable("a task of class " + cls.name() + " needs a key");
        }
        if (w.patience() != null && w.patience() < 0 || w.runsFor() < 0) {
            throw new Unacceptable("patienceMs and runsForMs must not be below 0");
        }
        return cls;
    }

    private void hand(long now, Entry e, Consumer<Action> actions) {
        e.state = State.IN_HAND;
        byRequest.remove(e.request);
        e.request = "q" + ++requests;
        e.offers = 0;
        byRequest.put(e.request, e);
        deadlines.add(new Due(e.deadline + BACKSTOP, e, e.request));
        boolean again = e.asked++ > 0;
        actions.accept(
                new Hand(
                        new Ask(
                                e.request,
                                e.cls.name(),
                                e.tenant,
                                e.key,
                                Math.max(0, e.deadline - now),
                                e.wish.runsFor(),
                                e.wish.service(),
                                e.wish.cores(),
                                e.wish.memory(),
                                again),
                        e.owner,
                        e.wish,
                        e.cls.worth(),
                        e.deadline,
                        e.turnedBy));
    }

    /**
     * An owner stops a task: one in hand ends with a failed result, one that is placed with an
     * event.
     */
    public void stop(long now, String owner, String task, Consumer<Action> actions)
            throws Unacceptable {
        Entry e = entries.get(key(owner, task));
        if (e == null
                || e.state == State.OVER
                || e.state == State.REFUSED
                || e.state == State.FAILED) {
            throw new Unacceptable("no task " + task + " of yours is in hand or placed");
        }
        if (e.answered()) {
            actions.accept(new Abandon(e.request, Fate.STOPPED));
            return;
        }
        abandon(e, actions);
        answer(now, e, Result.FAILED, "", "stopped by its owner", 0, actions);
    }

    private void abandon(Entry e, Consumer<Action> actions) {
        settling.remove(e);
        if (e.request != null) {
            actions.accept(new Abandon(e.request, Fate.STOPPED));
        }
    }

    /** The module offers the request to a machine; null where it is not in hand any more. */
    public Offered offered(String request) {
        Entry e = byRequest.get(request);
        return e == null || e.answered()
                ? null
                : new Offered(e.owner, e.wish, e.cls.effect(), e.offers++);
    }

    // ---- answers ----
    /** A machine turned an offer down; kept as the reason of a refusal that may follow. */
    public void turnedDown(String request, String machine, Reason reason) {
        Entry e = byRequest.get(request);
        if (e != null) {
            String said =
                    switch (reason) {
                        case NO_CORES -> "not enough cores";
                        case NO_MEMORY -> "not enough memory";
                        case OFFERS_WAIT -> "too many offers wait there";
                        case NOT_HERE -> "not here: draining, or a copy of the key stands";
                        default -> "no reason given";
                    };
            e.why = "node " + machine + " refused last: " + said;
            e.turnedBy = machine;
        }
    }

    /**
     * The module's final no, harmless to try again. {@code hint} 0 for none, {@code why} empty
     * where not known.
     */
    public void refused(long now, String request, long hint, String why, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            String told =
                    !why.isEmpty()
                            ? why
                            : e.why.isEmpty() ? "no node had room while you waited" : e.why;
            answer(
                    now,
                    e,
                    Result.REFUSED,
                    "",
                    told,
                    hint > 0 ? Math.min(hint, limits.retryMost()) : retryAfter(e),
                    actions);
        }
    }

    /**
     * The line's early no, harmless to try again after {@code retryAfter}, or the longer time that
     * many asks earn.
     */
    public void turnedAway(
            long now, String request, String why, long retryAfter, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            answer(
                    now,
                    e,
                    Result.REFUSED,
                    "",
                    why,
                    Math.min(limits.retryMost(), Math.max(retryAfter, retryAfter(e))),
                    actions);
        }
    }

    /** The module's final no that promises nothing, or ours where something failed. */
    public void failed(long now, String request, String why, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            answer(
                    now,
                    e,
                    Result.FAILED,
                    "",
                    e.why.isEmpty() ? why : why + "; " + e.why,
                    0,
                    actions);
        }
    }

    public void placed(long now, String request, String machine, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            answer(now, e, Result.PLACED, machine, "", 0, actions);
        }
    }

    /** A placed task came to its end. */
    public void over(
            long now, String request, String machine, Fate fate, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e == null || e.state != State.PLACED) {
            return;
        }
        over(now, e, machine, fate, actions);
    }

    private void over(long now, Entry e, String machine, Fate fate, Consumer<Action> actions) {
        e.state = State.OVER;
        e.fate = fate;
        e.unconfirmed = false;
        e.event = new News(++newsNumber, e.owner, e.wish.id(), null, fate, machine, "", 0, false);
        actions.accept(new Finished(e.request, e.owner, e.wish.id(), e.cls.effect(), fate));
        deliver(e.event, actions);
        finish(now, e);
    }

    /**
     * What may not start twice cannot be promised now, and is refused with this reason; empty for
     * it can.
     */
    public void unable(String why) {
        unable = why;
    }

    /** Whose request it is, and for what; null where it is not known. */
    public Offered of(String request) {
        Entry e = byRequest.get(request);
        return e == null ? null : new Offered(e.owner, e.wish, e.cls.effect(), e.offers);
    }

    // ---- what former lives did ----
    /**
     * A result of a former life, kept as if it were this one's; {@code fate} null where the task
     * may still run.
     */
    public void restore(
            long now,
            String owner,
            String tenant,
            Wish wish,
            Result result,
            String machine,
            String reason,
            Fate fate) {
        TaskClass cls = classes.get(wish.taskClass());
        if (cls == null) {
            return; // a class that the site no longer has: nobody can ask for it
        }
        Entry e = new Entry(key(owner, wish.id()), owner, tenant, wish, cls);
        Entry refused = entries.put(e.key, e);
        if (refused != null) {
            finished.remove(e.key);
            byRequest.remove(refused.request);
        }
        e.machine = machine;
        e.result = new News(++newsNumber, owner, wish.id(), result, null, machine, reason, 0, true);
        e.fate = fate;
        e.unconfirmed = result == Result.PLACED && fate == null;
        if (fate != null) {
            e.event = new News(++newsNumber, owner, wish.id(), null, fate, machine, "", 0, true);
        }
        e.state = result == Result.FAILED ? State.FAILED : fate == null ? State.PLACED : State.OVER;
        if (!e.unconfirmed) {
            finish(now, e);
        }
    }

    /** It is proven that no attempt of a former life ran: an ask that is held goes on. */
    public void proven(long now, String owner, String task, Consumer<Action> actions) {
        Entry e = entries.get(key(owner, task));
        if (e != null && e.state == State.SETTLING && e.doubted) {
            e.doubted = false;
            if (now >= settleUntil || e.cls.effect() != Effect.UNSAFE) {
                settling.remove(e);
                hand(now, e, actions);
            }
        }
    }

    /**
     * A former life placed the task on this machine, and it is over: the result of an ask that
     * waits for it.
     *
     * @param told its owner may have been told before: without an ask that waits it is kept, and
     *     nothing is said
     */
    public void ran(
            long now,
            String owner,
            String tenant,
            Wish wish,
            String machine,
            Fate fate,
            boolean told,
            Consumer<Action> actions) {
        Entry e = entries.get(key(owner, wish.id()));
        if (e == null && !classes.containsKey(wish.taskClass()) || ownAnswer(e)) {
            return;
        }
        if (e != null && !e.answered()) {
            abandon(e, actions);
            answer(now, e, Result.PLACED, machine, "it ran already", 0, actions);
        } else if (told && (e == null || !e.unconfirmed)) {
            restore(now, owner, tenant, wish, Result.PLACED, machine, "it ran already", fate);
            return;
        } else if (e == null || !e.unconfirmed) {
            restore(now, owner, tenant, wish, Result.PLACED, machine, "it ran already", null);
            e = entries.get(key(owner, wish.id()));
            actions.accept(
                    new Answered(
                            null, owner, tenant, wish, e.cls.effect(), Result.PLACED, machine, ""));
        }
        over(now, e, machine, fate, actions);
    }

    /**
     * A former life started the task, or may have, and nothing will prove more: an ask that waits
     * for it fails.
     */
    public void mayHaveRun(
            long now,
            String owner,
            String tenant,
            Wish wish,
            String reason,
            Consumer<Action> actions) {
        Entry e = entries.get(key(owner, wish.id()));
        TaskClass cls = classes.get(wish.taskClass());
        if (cls == null || ownAnswer(e)) {
            return;
        }
        if (e != null && !e.answered()) {
            abandon(e, actions);
            answer(now, e, Result.FAILED, "", reason, 0, actions);
        } else {
            // nobody asks for it now; one who does is told
            restore(now, owner, tenant, wish, Result.FAILED, "", reason, null);
            actions.accept(
                    new Answered(
                            null, owner, tenant, wish, cls.effect(), Result.FAILED, "", reason));
        }
    }

    /**
     * This life has answered, and by more than a refusal, after which an owner may ask anew: that
     * answer stands.
     */
    private static boolean ownAnswer(Entry e) {
        return e != null && e.answered() && !e.unconfirmed && e.state != State.REFUSED;
    }

    /** The same for a task in doubt whose ask is held; nothing where none is. */
    public void unprovable(
            long now, String owner, String task, String machine, Consumer<Action> actions) {
        Entry e = entries.get(key(owner, task));
        if (e != null && e.state == State.SETTLING && e.doubted) {
            answer(
                    now,
                    e,
                    Result.FAILED,
                    "",
                    MAY_HAVE_RUN + ", and node " + machine + " does not remember",
                    0,
                    actions);
        }
    }

    /**
     * Work of a former life of this placer was found on a node: it is this owner's task, placed.
     * Where it was asked for again meanwhile, what runs is its result, and the new request is
     * abandoned.
     *
     * @return the request under which the module is to look after it, or null where it already runs
     *     elsewhere and the copy must be withdrawn
     */
    public Ask adopt(
            long now,
            String owner,
            String tenant,
            Wish wish,
            String machine,
            Consumer<Action> actions) {
        String key = key(owner, wish.id());
        Entry e = entries.get(key);
        if (e != null
                && (e.state == State.FAILED
                        || e.state == State.PLACED && !e.unconfirmed
                        || e.state == State.OVER && !e.askedAnew())) {
            return null;
        }
        boolean waits = e != null && !e.answered();
        if (waits) {
            abandon(e, actions);
            byRequest.remove(e.request);
        } else if (e == null) {
            TaskClass cls = classes.get(wish.taskClass());
            if (cls == null) {
                return null;
            }
            e = new Entry(key, owner, tenant, wish, cls);
            entries.put(key, e);
        }
        finished.remove(key);
        e.unconfirmed = false;
        e.request = "q" + ++requests;
        byRequest.put(e.request, e);
        if (waits) {
            answer(now, e, Result.PLACED, machine, "it ran already", 0, actions);
        } else {
            e.state = State.PLACED;
            e.machine = machine;
            e.result =
                    new News(
                            ++newsNumber,
                            owner,
                            wish.id(),
                            Result.PLACED,
                            null,
                            machine,
                            "it ran already",
                            0,
                            false);
            actions.accept(
                    new Answered(
                            e.request,
                            owner,
                            tenant,
                            wish,
                            e.cls.effect(),
                            Result.PLACED,
                            machine,
                            ""));
        }
        return new Ask(
                e.request,
                e.cls.name(),
                tenant,
                key,
                0,
                wish.runsFor(),
                wish.service(),
                wish.cores(),
                wish.memory(),
                true);
    }

    private void answer(
            long now,
            Entry e,
            Result result,
            String machine,
            String reason,
            long retryAfter,
            Consumer<Action> actions) {
        if (e.state == State.SETTLING || e.state == State.IN_HAND) {
            inHand--;
        }
        settling.remove(e);
        e.state =
                result == Result.PLACED
                        ? State.PLACED
                        : result == Result.REFUSED ? State.REFUSED : State.FAILED;
        e.machine = machine;
        e.fate = null;
        e.result =
                new News(
                        ++newsNumber,
                        e.owner,
                        e.wish.id(),
                        result,
                        null,
                        machine,
                        reason,
                        retryAfter,
                        false);
        if (result != Result.PLACED) {
            finish(now, e);
        }
        actions.accept(
                new Answered(
                        e.request,
                        e.owner,
                        e.tenant,
                        e.wish,
                        e.cls.effect(),
                        result,
                        machine,
                        reason));
        deliver(e.result, actions);
    }

    /** Spread by chance, so that those refused together do not come back together. */
    private long retryAfter(Entry e) {
        long base =
                Math.min(
                        limits.retryMost(),
                        limits.retryLeast() << Math.min(20, Math.max(0, e.asked - 1)));
        return base / 2 + (long) (random.nextDouble() * base / 2);
    }

    // ---- telling owners ----
    private void deliver(News news, Consumer<Action> actions) {
        LinkedHashMap<Long, News> waiting =
                pending.computeIfAbsent(news.owner(), o -> new LinkedHashMap<>());
        waiting.put(news.number(), news);
        if (waiting.size() > MOST_PENDING) {
            waiting.remove(waiting.keySet().iterator().next());
        }
        actions.accept(new Deliver(news));
    }

    private void forgetNews(News news) {
        if (news != null) {
            delivered(news.owner(), news.number());
        }
    }

    /** The owner has been told. */
    public void delivered(String owner, long number) {
        LinkedHashMap<Long, News> waiting = pending.get(owner);
        if (waiting != null && waiting.remove(number) != null && waiting.isEmpty()) {
            pending.remove(owner);
        }
    }

    /** What an owner has not been told yet, oldest first: for one who subscribes. */
    public List<News> undelivered(String owner) {
        return new ArrayList<>(pending.getOrDefault(owner, new LinkedHashMap<>()).values());
    }

    // ---- time ----
    /** Time passes; to be called several times a second. */
    public void tick(long now, Consumer<Action> actions) {
        stoodStill(now);
        if (!settling.isEmpty()) {
            for (Entry e : new ArrayList<>(settling)) {
                if (now >= settleUntil && !e.doubted) {
                    settling.remove(e);
                    hand(now, e, actions);
                } else if (now >= e.deadline - BACKSTOP) {
                    // no refusal, which would say that trying again is harmless: what ran is not
                    // known yet
                    answer(
                            now,
                            e,
                            Result.FAILED,
                            "",
                            e.doubted
                                    ? MAY_HAVE_RUN + ", and its node has not come back"
                                    : "the placer has just started and cannot tell yet whether it"
                                            + " ran before",
                            0,
                            actions);
                }
            }
        }
        while (!deadlines.isEmpty() && deadlines.peek().at() <= now) {
            Due due = deadlines.poll();
            if (due.entry().state == State.IN_HAND && due.request().equals(due.entry().request)) {
                // guards against a module that fails to answer: every ask has a result in time
                abandon(due.entry(), actions);
                answer(now, due.entry(), Result.FAILED, "", "no answer in time", 0, actions);
            }
        }
        while (!finished.isEmpty()) {
            Entry oldest = finished.values().iterator().next();
            boolean late = now >= oldest.forgetAt;
            if (!late && entries.size() <= limits.kept()) {
                break;
            }
            finished.remove(oldest.key);
            forget(oldest, late);
        }
        while (!forgotten.isEmpty() && forgotten.values().iterator().next() <= now) {
            forgotten.remove(forgotten.keySet().iterator().next());
        }
    }

    private void finish(long now, Entry e) {
        e.forgetAt = now + limits.keepFor();
        finished.remove(e.key);
        finished.put(e.key, e);
    }

    private void forget(Entry e, boolean late) {
        entries.remove(e.key);
        forgetNews(e.result); // kept no longer, so not for one who subscribes later either
        forgetNews(e.event);
        if (e.request != null) {
            byRequest.remove(e.request);
        }
        if (!late && e.state != State.REFUSED && forgotten.size() < MOST_FORGOTTEN) {
            // a second ask would start it again; until its time is over it is answered with failed
            forgotten.put(hash(e.key), e.forgetAt);
        }
    }

    private static long hash(String key) {
        long h = 1125899906842597L;
        for (int i = 0; i < key.length(); i++) {
            h = 31 * h + key.charAt(i);
        }
        return h;
    }

    public int inHand() {
        return inHand;
    }

    public int known() {
        return entries.size();
    }
}
