package thornferry.decisions.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskClass;

/**
 * One result for each ask: what comes in from owners, what the module is asked, and what owners are
 * told.
 *
 * <p>A task is known by its owner and the owner's own name for it, so that owners cannot meet by
 * accident or learn of each other's tasks. Asked again while in hand, nothing more happens; after
 * {@code placed} or {@code failed}, the kept result is given again; after {@code rejected}, which
 * says that trying again is harmless, it is asked anew. What could not be told to anyone waits for
 * its owner to subscribe. Times are microseconds.
 */
public final class RequestTracker {
    /**
     * @param pendingCount tasks without a result at once; beyond it an ask is refused
     * @param maxRetained results and running tasks kept at once; the oldest results are dropped
     *     first
     * @param retentionMicros a result is kept so long after the task has its result or, once
     *     placed, its end
     * @param maxWaitMicros what an ask may at most wait for its result; longer is cut to it
     * @param settleMicros after the start, asks that must not start twice wait so long for nodes to
     *     say what runs and ran; 0 where a whole journal tells what former lives offered
     * @param minRetryAfterMicros the least retry-after of a refusal; doubles with each refusal of
     *     the same task
     * @param maxRetryAfterMicros the most
     */
    public record Limits(
            int maxPending,
            int maxRetained,
            long retentionMicros,
            long maxWaitMicros,
            long settleMicros,
            long minRetryAfterMicros,
            long maxRetryAfterMicros) {
        public Limits {
            if (maxPending < 1
                    || maxRetained < 1
                    || retentionMicros <= 0
                    || maxWaitMicros <= 0
                    || settleMicros < 0
                    || minRetryAfterMicros <= 0
                    || maxRetryAfterMicros < minRetryAfterMicros) {
                throw new IllegalArgumentException(
                        "intake limits must be above 0, retryMost not under retryLeast");
            }
        }

        /** The same without waiting after the start. */
        public Limits withoutSettling() {
            return new Limits(
                    maxPending,
                    maxRetained,
                    retentionMicros,
                    maxWaitMicros,
                    0,
                    minRetryAfterMicros,
                    maxRetryAfterMicros);
        }
    }

    public sealed interface Action {}

    /**
     * A task is asked for and waits; {@code settling} for machines to say what runs, {@code
     * uncertain} what it did.
     */
    public record RequestWaiting(
            String owner,
            String tenant,
            TaskSpec spec,
            boolean keyed,
            boolean settling,
            boolean uncertain)
            implements Action {}

    /**
     * Into the line, to be placed before {@code deadlineMicros}; {@code rejectedBy} turned it down
     * last, empty for none.
     */
    public record Dispatch(
            PlacementRequest request,
            String owner,
            TaskSpec spec,
            double priorityWeight,
            long deadlineMicros,
            String rejectedBy)
            implements Action {}

    /**
     * The request has its result; before {@link Notify}. {@code requestId} null where it never went
     * into the line.
     */
    public record RequestCompleted(
            String requestId,
            String owner,
            String tenant,
            TaskSpec spec,
            Idempotency idempotency,
            RequestResult result,
            String machine,
            String reason)
            implements Action {}

    /**
     * The placed task is over; before {@link Notify}. {@code requestId} null where this life did
     * not look after it.
     */
    public record TaskFinished(
            String requestId,
            String owner,
            String task,
            Idempotency idempotency,
            TerminationCause terminationCause)
            implements Action {}

    /** Tell the owner; {@link #delivered} says when it was told. */
    public record Notify(ResultNotification notification) implements Action {}

    /** Nobody waits for the request: tell the module, and withdraw an attempt that is out. */
    public record Abandon(String requestId, TerminationCause terminationCause) implements Action {}

    /**
     * What an offer to a machine needs to know of its request; {@code attempt} counts the offers,
     * from 0.
     */
    public record OfferDetails(String owner, TaskSpec spec, Idempotency idempotency, int attempt) {}

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
        TaskSpec wish; // of the latest ask
        final TaskClass cls;
        State state;
        String request;
        long deadline;
        int offers; // for this request
        int asked; // how often it was handed to the module
        String why = "";
        String turnedBy = "";
        String machine = "";
        ResultNotification result;
        ResultNotification event;
        TerminationCause fate;
        long forgetAt;
        boolean doubted; // it may have run in a former life, and proof may come
        boolean unconfirmed; // placed by a former life, and its machine has not said yet that it

        // has it

        Entry(String key, String owner, String tenant, TaskSpec wish, TaskClass cls) {
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
                            && cls.idempotency() != Idempotency.NON_IDEMPOTENT
                            && (fate == TerminationCause.LOST
                                    || fate == TerminationCause.EVICTED
                                    || fate == TerminationCause.MIGRATED);
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
    private final Map<String, LinkedHashMap<Long, ResultNotification>> pending =
            new HashMap<>(); // by owner
    private final LinkedHashMap<Long, Long> forgotten = new LinkedHashMap<>(); // hash -> until
    private final List<Entry> settling = new ArrayList<>();
    private long settleUntil;
    private long lastTick;
    private String setUnavailable = "";
    private int pendingCount;
    private long requests;
    private long newsNumber;

    /**
     * @param seed for the spread of retry-after
     */
    public RequestTracker(Limits limits, List<TaskClass> classes, long seed, long now) {
        this.limits = limits;
        this.random = new SplittableRandom(seed);
        this.settleUntil = now + limits.settleMicros();
        this.lastTick = now;
        classes.forEach(c -> this.classes.put(c.name(), c));
    }

    private static String key(String owner, String task) {
        return owner.length() + ":" + owner + "/" + task;
    }

    // ---- asks ----
    /** An owner asks for a task that no former life can have started; see the other. */
    public void submit(
            long now, String owner, String tenant, TaskSpec wish, Consumer<Action> actions)
            throws InvalidRequestException {
        submit(now, owner, tenant, wish, Uncertainty.NONE, actions);
    }

    /**
     * An owner asks for a task. When it returns, the ask is taken: its result will come.
     *
     * @param doubt whether it may have run in a former life of this placer; one that is held waits
     *     for {@link #provenNotRun}, {@link #finishedEarlier}, {@link #adopt} or {@link
     *     #mayHaveRun}, and fails at the end of its patience
     */
    public void submit(
            long now,
            String owner,
            String tenant,
            TaskSpec wish,
            Uncertainty doubt,
            Consumer<Action> actions)
            throws InvalidRequestException {
        TaskClass cls = checked(wish);
        stoodStill(now);
        String key = key(owner, wish.id());
        Entry e = entries.get(key);
        if (e != null && !e.wish.sameShape(wish)) {
            throw new InvalidRequestException("task " + wish.id() + " is known with another shape");
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
                        RequestResult.FAILED,
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
                                limits.maxWaitMicros(),
                                wish.maxWaitMicros() == null
                                        ? cls.deadlineMicros()
                                        : wish.maxWaitMicros());
        e.doubted = doubt == Uncertainty.PENDING_PROOF;
        boolean settles =
                e.doubted || now < settleUntil && cls.idempotency() == Idempotency.NON_IDEMPOTENT;
        actions.accept(
                new RequestWaiting(
                        owner,
                        tenant,
                        wish,
                        cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY,
                        settles,
                        e.doubted));
        if (pendingCount >= limits.maxPending()) {
            answer(
                    now,
                    e,
                    RequestResult.REJECTED,
                    "",
                    "the placer has as many tasks in hand as it may: " + limits.maxPending(),
                    retryAfter(e),
                    actions);
            return;
        }
        if (doubt == Uncertainty.MAY_HAVE_RUN) {
            answer(now, e, RequestResult.FAILED, "", MAY_HAVE_RUN, 0, actions);
            return;
        }
        if (!setUnavailable.isEmpty() && cls.idempotency() != Idempotency.IDEMPOTENT) {
            answer(now, e, RequestResult.REJECTED, "", setUnavailable, retryAfter(e), actions);
            return;
        }
        pendingCount++;
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
    private ResultNotification repeat(ResultNotification kept, Consumer<Action> actions) {
        if (kept == null) {
            return null;
        }
        forgetNews(kept);
        ResultNotification again =
                new ResultNotification(
                        ++newsNumber,
                        kept.owner(),
                        kept.task(),
                        kept.result(),
                        kept.terminationCause(),
                        kept.machine(),
                        kept.reason(),
                        kept.retryAfterMicros(),
                        true);
        deliver(again, actions);
        return again;
    }

    private TaskClass checked(TaskSpec w) throws InvalidRequestException {
        if (w.id().isEmpty() || w.id().length() > 128) {
            throw new InvalidRequestException("id must have 1 to 128 characters");
        }
        TaskClass cls = classes.get(w.taskClass());
        if (cls == null) {
            throw new InvalidRequestException(
                    "taskClass "
                            + (w.taskClass().isEmpty()
                                    ? "is missing"
                                    : w.taskClass() + " is not known")
                            + "; known: "
                            + String.join(", ", classes.keySet().stream().sorted().toList()));
        }
        if (!(w.cores() > 0) || !(w.memory() > 0) || w.cores() > 1e9 || w.memory() > 1e9) {
            throw new InvalidRequestException("cores and memory must be numbers above 0");
        }
        if (w.service().isEmpty()
                || w.service().length() > 128
                || w.idempotencyKey().length() > 128) {
            throw new InvalidRequestException(
                    "service must have 1 to 128 characters, key at most 128");
        }
        if (cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && w.idempotencyKey().isEmpty()) {
            throw new InvalidRequestException("a task of class " + cls.name() + " needs a key");
        }
        if (w.maxWaitMicros() != null && w.maxWaitMicros() < 0 || w.expectedRunMicros() < 0) {
            throw new InvalidRequestException("patienceMs and runsForMs must not be below 0");
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
                new Dispatch(
                        new PlacementRequest(
                                e.request,
                                e.cls.name(),
                                e.tenant,
                                e.key,
                                Math.max(0, e.deadline - now),
                                e.wish.expectedRunMicros(),
                                e.wish.service(),
                                e.wish.cores(),
                                e.wish.memory(),
                                again),
                        e.owner,
                        e.wish,
                        e.cls.priorityWeight(),
                        e.deadline,
                        e.turnedBy));
    }

    /**
     * An owner stops a task: one in hand ends with a failed result, one that is placed with an
     * event.
     */
    public void stop(long now, String owner, String task, Consumer<Action> actions)
            throws InvalidRequestException {
        Entry e = entries.get(key(owner, task));
        if (e == null
                || e.state == State.OVER
                || e.state == State.REFUSED
                || e.state == State.FAILED) {
            throw new InvalidRequestException("no task " + task + " of yours is in hand or placed");
        }
        if (e.answered()) {
            actions.accept(new Abandon(e.request, TerminationCause.STOPPED));
            return;
        }
        abandon(e, actions);
        answer(now, e, RequestResult.FAILED, "", "stopped by its owner", 0, actions);
    }

    private void abandon(Entry e, Consumer<Action> actions) {
        settling.remove(e);
        if (e.request != null) {
            actions.accept(new Abandon(e.request, TerminationCause.STOPPED));
        }
    }

    /** The module offers the request to a machine; null where it is not in hand any more. */
    public OfferDetails nextOffer(String request) {
        Entry e = byRequest.get(request);
        return e == null || e.answered()
                ? null
                : new OfferDetails(e.owner, e.wish, e.cls.idempotency(), e.offers++);
    }

    // ---- answers ----
    /** A machine turned an offer down; kept as the reason of a refusal that may follow. */
    public void offerRejected(String request, String machine, OutcomeReason reason) {
        Entry e = byRequest.get(request);
        if (e != null) {
            String said =
                    switch (reason) {
                        case INSUFFICIENT_CORES -> "not enough cores";
                        case INSUFFICIENT_MEMORY -> "not enough memory";
                        case QUEUE_FULL -> "too many offers wait there";
                        case UNAVAILABLE -> "not here: draining, or a copy of the key stands";
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
    public void rejected(
            long now, String request, long hint, String why, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            String told =
                    !why.isEmpty()
                            ? why
                            : e.why.isEmpty() ? "no node had room while you waited" : e.why;
            answer(
                    now,
                    e,
                    RequestResult.REJECTED,
                    "",
                    told,
                    hint > 0 ? Math.min(hint, limits.maxRetryAfterMicros()) : retryAfter(e),
                    actions);
        }
    }

    /**
     * The line's early no, harmless to try again after {@code retryAfterMicros}, or the longer time
     * that many asks earn.
     */
    public void shed(
            long now, String request, String why, long retryAfter, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            answer(
                    now,
                    e,
                    RequestResult.REJECTED,
                    "",
                    why,
                    Math.min(limits.maxRetryAfterMicros(), Math.max(retryAfter, retryAfter(e))),
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
                    RequestResult.FAILED,
                    "",
                    e.why.isEmpty() ? why : why + "; " + e.why,
                    0,
                    actions);
        }
    }

    public void placed(long now, String request, String machine, Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e != null && !e.answered()) {
            answer(now, e, RequestResult.PLACED, machine, "", 0, actions);
        }
    }

    /** A placed task came to its end. */
    public void finished(
            long now,
            String request,
            String machine,
            TerminationCause fate,
            Consumer<Action> actions) {
        Entry e = byRequest.get(request);
        if (e == null || e.state != State.PLACED) {
            return;
        }
        finished(now, e, machine, fate, actions);
    }

    private void finished(
            long now, Entry e, String machine, TerminationCause fate, Consumer<Action> actions) {
        e.state = State.OVER;
        e.fate = fate;
        e.unconfirmed = false;
        e.event =
                new ResultNotification(
                        ++newsNumber, e.owner, e.wish.id(), null, fate, machine, "", 0, false);
        actions.accept(
                new TaskFinished(e.request, e.owner, e.wish.id(), e.cls.idempotency(), fate));
        deliver(e.event, actions);
        finish(now, e);
    }

    /**
     * What may not start twice cannot be promised now, and is refused with this reason; empty for
     * it can.
     */
    public void setUnavailable(String why) {
        setUnavailable = why;
    }

    /** Whose request it is, and for what; null where it is not known. */
    public OfferDetails of(String request) {
        Entry e = byRequest.get(request);
        return e == null ? null : new OfferDetails(e.owner, e.wish, e.cls.idempotency(), e.offers);
    }

    // ---- what former lives did ----
    /**
     * A result of a former life, kept as if it were this one's; {@code terminationCause} null where
     * the task may still run.
     */
    public void restore(
            long now,
            String owner,
            String tenant,
            TaskSpec wish,
            RequestResult result,
            String machine,
            String reason,
            TerminationCause fate) {
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
        e.result =
                new ResultNotification(
                        ++newsNumber, owner, wish.id(), result, null, machine, reason, 0, true);
        e.fate = fate;
        e.unconfirmed = result == RequestResult.PLACED && fate == null;
        if (fate != null) {
            e.event =
                    new ResultNotification(
                            ++newsNumber, owner, wish.id(), null, fate, machine, "", 0, true);
        }
        e.state =
                result == RequestResult.FAILED
                        ? State.FAILED
                        : fate == null ? State.PLACED : State.OVER;
        if (!e.unconfirmed) {
            finish(now, e);
        }
    }

    /** It is proven that no attempt of a former life ran: an ask that is held goes on. */
    public void provenNotRun(long now, String owner, String task, Consumer<Action> actions) {
        Entry e = entries.get(key(owner, task));
        if (e != null && e.state == State.SETTLING && e.doubted) {
            e.doubted = false;
            if (now >= settleUntil || e.cls.idempotency() != Idempotency.NON_IDEMPOTENT) {
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
    public void finishedEarlier(
            long now,
            String owner,
            String tenant,
            TaskSpec wish,
            String machine,
            TerminationCause fate,
            boolean told,
            Consumer<Action> actions) {
        Entry e = entries.get(key(owner, wish.id()));
        if (e == null && !classes.containsKey(wish.taskClass()) || ownAnswer(e)) {
            return;
        }
        if (e != null && !e.answered()) {
            abandon(e, actions);
            answer(now, e, RequestResult.PLACED, machine, "it ran already", 0, actions);
        } else if (told && (e == null || !e.unconfirmed)) {
            restore(
                    now,
                    owner,
                    tenant,
                    wish,
                    RequestResult.PLACED,
                    machine,
                    "it ran already",
                    fate);
            return;
        } else if (e == null || !e.unconfirmed) {
            restore(
                    now,
                    owner,
                    tenant,
                    wish,
                    RequestResult.PLACED,
                    machine,
                    "it ran already",
                    null);
            e = entries.get(key(owner, wish.id()));
            actions.accept(
                    new RequestCompleted(
                            null,
                            owner,
                            tenant,
                            wish,
                            e.cls.idempotency(),
                            RequestResult.PLACED,
                            machine,
                            ""));
        }
        finished(now, e, machine, fate, actions);
    }

    /**
     * A former life started the task, or may have, and nothing will prove more: an ask that waits
     * for it fails.
     */
    public void mayHaveRun(
            long now,
            String owner,
            String tenant,
            TaskSpec wish,
            String reason,
            Consumer<Action> actions) {
        Entry e = entries.get(key(owner, wish.id()));
        TaskClass cls = classes.get(wish.taskClass());
        if (cls == null || ownAnswer(e)) {
            return;
        }
        if (e != null && !e.answered()) {
            abandon(e, actions);
            answer(now, e, RequestResult.FAILED, "", reason, 0, actions);
        } else {
            // nobody asks for it now; one who does is told
            restore(now, owner, tenant, wish, RequestResult.FAILED, "", reason, null);
            actions.accept(
                    new RequestCompleted(
                            null,
                            owner,
                            tenant,
                            wish,
                            cls.idempotency(),
                            RequestResult.FAILED,
                            "",
                            reason));
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
    public void becameIndeterminate(
            long now, String owner, String task, String machine, Consumer<Action> actions) {
        Entry e = entries.get(key(owner, task));
        if (e != null && e.state == State.SETTLING && e.doubted) {
            answer(
                    now,
                    e,
                    RequestResult.FAILED,
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
    public PlacementRequest adopt(
            long now,
            String owner,
            String tenant,
            TaskSpec wish,
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
            answer(now, e, RequestResult.PLACED, machine, "it ran already", 0, actions);
        } else {
            e.state = State.PLACED;
            e.machine = machine;
            e.result =
                    new ResultNotification(
                            ++newsNumber,
                            owner,
                            wish.id(),
                            RequestResult.PLACED,
                            null,
                            machine,
                            "it ran already",
                            0,
                            false);
            actions.accept(
                    new RequestCompleted(
                            e.request,
                            owner,
                            tenant,
                            wish,
                            e.cls.idempotency(),
                            RequestResult.PLACED,
                            machine,
                            ""));
        }
        return new PlacementRequest(
                e.request,
                e.cls.name(),
                tenant,
                key,
                0,
                wish.expectedRunMicros(),
                wish.service(),
                wish.cores(),
                wish.memory(),
                true);
    }

    private void answer(
            long now,
            Entry e,
            RequestResult result,
            String machine,
            String reason,
            long retryAfter,
            Consumer<Action> actions) {
        if (e.state == State.SETTLING || e.state == State.IN_HAND) {
            pendingCount--;
        }
        settling.remove(e);
        e.state =
                result == RequestResult.PLACED
                        ? State.PLACED
                        : result == RequestResult.REJECTED ? State.REFUSED : State.FAILED;
        e.machine = machine;
        e.fate = null;
        e.result =
                new ResultNotification(
                        ++newsNumber,
                        e.owner,
                        e.wish.id(),
                        result,
                        null,
                        machine,
                        reason,
                        retryAfter,
                        false);
        if (result != RequestResult.PLACED) {
            finish(now, e);
        }
        actions.accept(
                new RequestCompleted(
                        e.request,
                        e.owner,
                        e.tenant,
                        e.wish,
                        e.cls.idempotency(),
                        result,
                        machine,
                        reason));
        deliver(e.result, actions);
    }

    /** Spread by chance, so that those refused together do not come back together. */
    private long retryAfter(Entry e) {
        long base =
                Math.min(
                        limits.maxRetryAfterMicros(),
                        limits.minRetryAfterMicros() << Math.min(20, Math.max(0, e.asked - 1)));
        return base / 2 + (long) (random.nextDouble() * base / 2);
    }

    // ---- telling owners ----
    private void deliver(ResultNotification news, Consumer<Action> actions) {
        LinkedHashMap<Long, ResultNotification> waiting =
                pending.computeIfAbsent(news.owner(), o -> new LinkedHashMap<>());
        waiting.put(news.sequence(), news);
        if (waiting.size() > MOST_PENDING) {
            waiting.remove(waiting.keySet().iterator().next());
        }
        actions.accept(new Notify(news));
    }

    private void forgetNews(ResultNotification news) {
        if (news != null) {
            delivered(news.owner(), news.sequence());
        }
    }

    /** The owner has been told. */
    public void delivered(String owner, long number) {
        LinkedHashMap<Long, ResultNotification> waiting = pending.get(owner);
        if (waiting != null && waiting.remove(number) != null && waiting.isEmpty()) {
            pending.remove(owner);
        }
    }

    /** What an owner has not been told yet, oldest first: for one who subscribes. */
    public List<ResultNotification> undelivered(String owner) {
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
                            RequestResult.FAILED,
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
                answer(now, due.entry(), RequestResult.FAILED, "", "no answer in time", 0, actions);
            }
        }
        while (!finished.isEmpty()) {
            Entry oldest = finished.values().iterator().next();
            boolean late = now >= oldest.forgetAt;
            if (!late && entries.size() <= limits.maxRetained()) {
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
        e.forgetAt = now + limits.retentionMicros();
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

    public int pendingCount() {
        return pendingCount;
    }

    public int known() {
        return entries.size();
    }
}
