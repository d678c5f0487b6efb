package thornferry.decisions.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import thornferry.decisions.membership.ClusterView;

/**
 * The waiting line: which task the module is asked to place next, which waits, and which is refused
 * early.
 *
 * <p>Between tenants the one with the lowest dominant share for its weight comes next, within a
 * tenant the class of most worth, then first asks, then the earliest deadline; every {@link
 * AdmissionSettings#oldestEvery}-th turn is the oldest's. So <b>a task that no limit holds is asked
 * for after at most {@code oldestTurn * (n + 1)} others</b>, n being those that came before it and
 * wait still. The line never says where a task goes. Times are microseconds.
 */
public final class AdmissionQueue {
    /** Where a task stands. */
    public enum Stage {
        UNKNOWN,
        QUEUED,
        BACKING_OFF,
        DISPATCHED,
        OFFERED,
        PLACED
    }

    /**
     * @param quotaBlock the limit that holds it, or null
     * @param nextRetryAtMicros of a parked one: when it is asked for again at the latest
     * @param aboveFairShare its tenant is above its share and others come first
     * @param capacityReserved room is kept for a larger task
     */
    public record Status(
            Stage stage,
            QuotaBlock quotaBlock,
            long nextRetryAtMicros,
            boolean aboveFairShare,
            boolean capacityReserved,
            long arrivedAtMicros) {}

    public sealed interface Action {}

    /** Ask the module; so much patience is left. */
    public record Dispatch(String requestId, long maxWaitMicros) implements Action {}

    /** The module no longer needs to hold it: it was never offered and waits in the line again. */
    public record Recall(String requestId) implements Action {}

    /** Refuse it now rather than late. */
    public record Shed(String requestId, String reason, long retryAfterMicros) implements Action {}

    /** Sums for operators. {@code overloaded} whether tasks are being shed. */
    public record QueueCounts(
            int queued,
            int backingOff,
            int dispatched,
            int offered,
            int placed,
            boolean overloaded,
            long shed) {}

    private static final class Entry {
        final QueuedRequest item;
        final long seq;
        final long arrived;
        Owner owner;
        Stage where = Stage.QUEUED;
        boolean couldFit; // some machine known at its coming is large enough
        boolean first = true; // not asked for yet
        boolean offeredEver;
        long askedAt;
        long notBefore;
        int looks;
        boolean again; // asked for because its time came
        boolean forRetry; // parked by the budget of asks again, not for room

        Entry(QueuedRequest item, long seq, long arrived) {
            this.item = item;
            this.seq = seq;
            this.arrived = arrived;
        }

        /** The part of its patience that is over. */
        double waited(long now) {
            return (now - arrived) / (double) Math.max(1, item.deadlineMicros() - arrived);
        }
    }

    private static final class Group {
        final String name;
        int waiting;
        int tasks;
        double cores;
        double memory;

        Group(String name) {
            this.name = name;
        }

        void count(Entry e, int sign) {
            tasks += sign;
            cores += sign * e.item.cores();
            memory += sign * e.item.memory();
        }
    }

    private static final class Owner {
        final Group use;
        final Tenant tenant;
        final TreeSet<Entry> queue = new TreeSet<>(ORDER);
        final TreeSet<Entry> byAge = new TreeSet<>(AGE);
        QuotaBlock hold;
        long wakeAt = Long.MIN_VALUE;
        Entry head; // as listed with the tenant
        Entry oldest;

        Owner(String name, Tenant tenant) {
            this.use = new Group(name);
            this.tenant = tenant;
        }
    }

    private static final class Tenant {
        final Group use;
        final TreeSet<Entry> heads = new TreeSet<>(ORDER);
        final TreeMap<Double, Integer> byWorth =
                new TreeMap<>(); // waiting tasks that some machine could take

        Tenant(String name) {
            this.use = new Group(name);
        }
    }

    private static final Comparator<Entry> AGE = Comparator.comparingLong(e -> e.seq);

    /**
     * First asks before repeated ones of equal worth, so that a storm that comes back takes only
     * what is left.
     */
    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingDouble(e -> -e.item.priorityWeight())
                    .thenComparing(e -> e.item.retry())
                    .thenComparingLong(e -> e.item.deadlineMicros())
                    .thenComparing(AGE);

    /**
     * What cannot be asked for so long before its deadline is refused: the module answers 40 ms
     * before it.
     */
    private static final long EARLY = 60_000;

    /** Parked tasks looked at when room comes. */
    private static final int SCAN = 256;

    private static final int LOOK_AGAIN_FACTOR = 16;
    private static final int GATHER_REST = 3;

    /** A tick later than this tells that we stood still; that time is not held against the line. */
    private static final long TICK_LATE = 250_000;

    private final ClusterView fleet;
    private AdmissionSettings settings;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Owner> owners = new HashMap<>();
    private final Map<String, Tenant> tenants = new LinkedHashMap<>();
    private final Group all = new Group("");
    private final TreeSet<Entry> oldest =
            new TreeSet<>(AGE); // the oldest of each owner that no limit holds
    private final TreeSet<Entry> parked = new TreeSet<>(ORDER);
    private final TreeSet<Entry> due =
            new TreeSet<>(ORDER); // of the parked: their time came, though no room was seen to come
    private final PriorityQueue<Due> wakes = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final PriorityQueue<Due> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final PriorityQueue<Long> ownerWakes = new PriorityQueue<>();
    private final LinkedHashMap<String, Entry> asked = new LinkedHashMap<>(); // in the order asked
    private final TokenBuckets ownerRate = new TokenBuckets(0, Double.POSITIVE_INFINITY);
    private final Map<String, TokenBuckets> ownRates =
            new HashMap<>(); // of owners and tenants with a limit of their own
    private final TokenBuckets tenantRate = new TokenBuckets(0, Double.POSITIVE_INFINITY);
    private final TokenBuckets allRate = new TokenBuckets(0, Double.POSITIVE_INFINITY);
    private final TokenBuckets retries = new TokenBuckets(0, 1);
    private long seq;
    private int attemptStarted;
    private int placed;
    private int lookedAgain; // of those asked: ones whose time came
    private long releases;
    private boolean pumping;
    private final OverloadController overloaded;
    private long shedTotal;
    private long lastTick = Long.MIN_VALUE;
    // large tasks
    private Entry gatherFor;
    private long gatherUntil = Long.MIN_VALUE / 2;
    private long gatherNext = Long.MIN_VALUE / 2;

    private record Due(long at, Entry entry) {}

    /**
     * @param seed for the spread of retry-after
     */
    public AdmissionQueue(AdmissionSettings settings, ClusterView fleet, long seed) {
        this.fleet = fleet;
        this.overloaded = new OverloadController(settings, seed);
        use(settings);
    }

    private void use(AdmissionSettings s) {
        settings = s;
        overloaded.use(s);
        ownerRate.set(s.ownerQuota().perSecond(), s.ownerQuota().burst());
        tenantRate.set(s.tenantQuota().perSecond(), s.tenantQuota().burst());
        allRate.set(s.siteQuota().perSecond(), s.siteQuota().burst());
        retries.set(s.retryPerSecond(), Math.max(5, 2 * s.retryPerSecond()));
        ownRates.clear();
        s.ownerQuotas()
                .forEach(
                        (name, l) ->
                                ownRates.put(
                                        "o" + name, new TokenBuckets(l.perSecond(), l.burst())));
        s.tenantQuotas()
                .forEach(
                        (name, l) ->
                                ownRates.put(
                                        "t" + name, new TokenBuckets(l.perSecond(), l.burst())));
    }

    /**
     * Other settings from now on. What waits keeps its place and what runs goes on, also above a
     * new limit.
     */
    public void reload(long now, AdmissionSettings s, Consumer<Action> actions) {
        use(s);
        for (Owner o : owners.values()) {
            list(now, o);
        }
        pump(now, actions);
    }

    // ---- what comes and goes ----
    /** A task is asked for. It is released, waits, or is refused at once. */
    public void arrived(long now, QueuedRequest item, Consumer<Action> actions) {
        Entry e = new Entry(item, seq++, now);
        Entry before = entries.put(item.requestId(), e);
        if (before != null) {
            drop(now, before);
        }
        e.owner = owner(item);
        e.couldFit = fleet.couldEverFit(item.cores(), item.memory());
        if (!settings.enabled()) {
            release(now, e, actions);
            return;
        }
        if (!item.retry()) {
            overloaded.firstAsk();
            retries.add(now, "o" + item.owner(), settings.retryRatio());
        }
        String no = turnedAway(now, e);
        if (no != null) {
            entries.remove(item.requestId());
            forgetIdle(e.owner);
            actions.accept(new Shed(item.requestId(), no, overloaded.retryAfter(now)));
            return;
        }
        count(e, 1);
        deadlines.add(new Due(item.deadlineMicros() - EARLY, e));
        if (!item.retry() || withinRetries(now, e)) {
            enqueue(now, e);
        } else {
            // guards against owners who ask again and again, and machines that turn down again and
            // again
            park(now, e, Math.min(retryReady(now, e), item.deadlineMicros() - 2 * EARLY), true);
        }
        pump(now, actions);
        if (all.waiting > settings.maxQueued()) {
            shedWorst(now, "the line is full: " + settings.maxQueued() + " tasks wait", actions);
        }
        if (item.deadlineMicros() - now <= EARLY
                && entries.get(item.requestId()) == e
                && waits(e)) {
            turn(now, e, "no time was left to place it", actions);
        }
    }

    private Owner owner(QueuedRequest item) {
        Owner o = owners.get(item.owner());
        if (o == null) {
            Tenant t = tenants.computeIfAbsent(item.tenant(), Tenant::new);
            o = new Owner(item.owner(), t);
            owners.put(item.owner(), o);
        }
        return o;
    }

    /** Why it may not even wait, or null. */
    private String turnedAway(long now, Entry e) {
        QueuedRequest i = e.item;
        Quota own = settings.quotaOfOwner(i.owner());
        Quota tenant = settings.quotaOfTenant(i.tenant());
        if (i.cores() > own.maxCores() || i.memory() > own.maxMemory()) {
            return "it asks for more than your limit of "
                    + Amounts.format(own.maxCores())
                    + " cores and "
                    + Amounts.format(own.maxMemory())
                    + " memory";
        } else if (i.cores() > tenant.maxCores()
                || i.memory() > tenant.maxMemory()
                || i.cores() > settings.siteQuota().maxCores()
                || i.memory() > settings.siteQuota().maxMemory()) {
            return "it asks for more than your tenant or the site may have at all";
        } else if (e.owner.use.waiting >= own.maxWaiting()) {
            return "your limit of waiting tasks: " + Amounts.format(own.maxWaiting());
        } else if (e.owner.tenant.use.waiting >= tenant.maxWaiting()) {
            return "your tenant's limit of waiting tasks: " + Amounts.format(tenant.maxWaiting());
        }
        if (settings.shedClasses().contains(i.taskClass())) {
            QuotaBlock hold = hold(now, e);
            if (hold != null) {
                return describe(hold)
                        + ", and tasks of class "
                        + i.taskClass()
                        + " do not wait for it";
            }
        }
        if (overloaded.pressed(now)) {
            // guards against answering late what can be answered early: it would wait in vain
            double ahead = wouldWait(e);
            if (ahead > i.deadlineMicros() - now) {
                return "the placer is overloaded: about "
                        + Amounts.format(Math.rint(ahead / 1e5) / 10)
                        + " s would pass before its turn";
            }
        }
        return null;
    }

    /** A tenant's part of what is placed, among those that wait now. */
    private double part(Tenant of) {
        double sum = 0;
        for (Tenant t : tenants.values()) {
            sum += t == of || t.use.waiting > 0 ? settings.shareOf(t.use.name) : 0;
        }
        return settings.shareOf(of.use.name) / sum;
    }

    /** The module offers it to a machine. */
    public void attemptStarted(long now, String request, String machine, boolean repeat) {
        Entry e = entries.get(request);
        if (repeat || e != null && e.item.retry()) {
            retries.take(now, "m" + machine);
        } else {
            retries.add(now, "m" + machine, settings.retryRatio());
        }
        if (e != null && e.where == Stage.DISPATCHED) {
            unask(e);
            e.where = Stage.OFFERED;
            e.offeredEver = true;
            attemptStarted++;
        }
    }

    /** The attempt is over and the module holds the task again, or offers it elsewhere next. */
    public void attemptEnded(long now, String request) {
        Entry e = entries.get(request);
        if (e != null && e.where == Stage.OFFERED) {
            attemptStarted--;
            e.where = Stage.DISPATCHED;
            e.askedAt = now;
            asked.put(request, e);
        }
    }

    public void placed(long now, String request, Consumer<Action> actions) {
        Entry e = entries.get(request);
        if (e == null || e.where != Stage.DISPATCHED && e.where != Stage.OFFERED) {
            return;
        }
        leave(now, e);
        e.where = Stage.PLACED;
        placed++;
        overloaded.placed();
        pump(now, actions);
    }

    /** Work that runs already, taken over: it counts against its owner's and tenant's limits. */
    public void adopted(long now, QueuedRequest item) {
        Entry e = new Entry(item, seq++, now);
        entries.put(item.requestId(), e);
        e.owner = owner(item);
        e.where = Stage.PLACED;
        placed++;
        busy(e, 1);
    }

    /**
     * Nothing is owed for the request any more: refused, failed, stopped, or its placed task is
     * over.
     */
    public void finished(long now, String request, Consumer<Action> actions) {
        Entry e = entries.remove(request);
        if (e != null) {
            if (e.where == Stage.DISPATCHED && now >= e.item.deadlineMicros() - EARLY) {
                late(now, e);
            }
            drop(now, e);
            pump(now, actions);
        }
    }

    /** Only what waited long, could have been taken and was held by no limit tells of overload. */
    private void late(long now, Entry e) {
        boolean hasty = e.item.deadlineMicros() - e.arrived < settings.intervalMicros() / 2;
        if (e.couldFit
                && !hasty
                && !e.forRetry
                && (e.where != Stage.QUEUED || e.owner.hold == null)) {
            overloaded.late(now);
        }
    }

    private void drop(long now, Entry e) {
        leave(now, e);
        if (e.where == Stage.PLACED) {
            placed--;
        }
        if (!waits(e)) {
            busy(e, -1);
            list(now, e.owner);
        }
        e.where = Stage.UNKNOWN;
        if (gatherFor == e) {
            gatherFor = null;
        }
        forgetIdle(e.owner);
    }

    /**
     * Takes it out of whatever it is in. Where it was not at the module, it no longer counts as
     * waiting.
     */
    private void leave(long now, Entry e) {
        switch (e.where) {
            case QUEUED -> {
                unqueue(now, e);
                count(e, -1);
            }
            case BACKING_OFF -> {
                parked.remove(e);
                due.remove(e);
                count(e, -1);
            }
            case DISPATCHED -> unask(e);
            case OFFERED -> attemptStarted--;
            default -> {}
        }
    }

    private void unask(Entry e) {
        asked.remove(e.item.requestId());
        lookedAgain -= e.again ? 1 : 0;
        e.again = false;
    }

    private static boolean waits(Entry e) {
        return e.where == Stage.QUEUED || e.where == Stage.BACKING_OFF;
    }

    private void count(Entry e, int sign) {
        e.owner.use.waiting += sign;
        e.owner.tenant.use.waiting += sign;
        all.waiting += sign;
        if (e.couldFit) {
            e.owner.tenant.byWorth.merge(
                    e.item.priorityWeight(),
                    sign,
                    (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
        }
    }

    private void busy(Entry e, int sign) {
        e.owner.use.count(e, sign);
        e.owner.tenant.use.count(e, sign);
        all.count(e, sign);
    }

    private void forgetIdle(Owner o) {
        if (o.use.waiting == 0 && o.use.tasks == 0 && owners.get(o.use.name) == o) {
            list(0, o);
            owners.remove(o.use.name);
            Tenant t = o.tenant;
            if (t.use.waiting == 0 && t.use.tasks == 0) {
                tenants.remove(t.use.name, t);
            }
        }
    }

    // ---- the order ----
    private void enqueue(long now, Entry e) {
        e.where = Stage.QUEUED;
        e.owner.queue.add(e);
        e.owner.byAge.add(e);
        list(now, e.owner);
    }

    private void unqueue(long now, Entry e) {
        e.owner.queue.remove(e);
        e.owner.byAge.remove(e);
        list(now, e.owner);
    }

    /**
     * Lists an owner's head with its tenant, and its oldest, unless a limit of its own holds it.
     */
    private void list(long now, Owner o) {
        Entry head = o.queue.isEmpty() ? null : o.queue.first();
        o.hold = head == null ? null : ownHold(now, head);
        Entry listed = o.hold == null ? head : null;
        Entry old = listed == null ? null : o.byAge.first();
        if (o.head != listed) {
            if (o.head != null) {
                o.tenant.heads.remove(o.head);
            }
            if (listed != null) {
                o.tenant.heads.add(listed);
            }
            o.head = listed;
        }
        if (o.oldest != old) {
            if (o.oldest != null) {
                oldest.remove(o.oldest);
            }
            if (old != null) {
                oldest.add(old);
            }
            o.oldest = old;
        }
        if (o.hold != null && o.hold.untilMicros() < Long.MAX_VALUE / 8 && o.wakeAt <= now) {
            o.wakeAt = o.hold.untilMicros();
            ownerWakes.add(o.wakeAt);
        }
    }

    private QuotaBlock hold(long now, Entry e) {
        QuotaBlock own = ownHold(now, e);
        return own != null ? own : sharedHold(now, e);
    }

    private QuotaBlock ownHold(long now, Entry e) {
        String name = e.item.owner();
        return hold(
                now,
                QuotaScope.OWNER,
                settings.quotaOfOwner(name),
                e.owner.use,
                e,
                ownerRate(name),
                name);
    }

    private QuotaBlock sharedHold(long now, Entry e) {
        Tenant t = e.owner.tenant;
        QuotaBlock hold =
                hold(
                        now,
                        QuotaScope.TENANT,
                        settings.quotaOfTenant(t.use.name),
                        t.use,
                        e,
                        tenantRate(t.use.name),
                        t.use.name);
        return hold != null
                ? hold
                : hold(now, QuotaScope.SITE, settings.siteQuota(), all, e, allRate, "");
    }

    private TokenBuckets ownerRate(String name) {
        return ownRates.isEmpty() ? ownerRate : ownRates.getOrDefault("o" + name, ownerRate);
    }

    private TokenBuckets tenantRate(String name) {
        return ownRates.isEmpty() ? tenantRate : ownRates.getOrDefault("t" + name, tenantRate);
    }

    private static QuotaBlock hold(
            long now,
            QuotaScope scope,
            Quota limit,
            Group use,
            Entry e,
            TokenBuckets rate,
            String name) {
        if (use.tasks + 1 > limit.maxTasks()) {
            return new QuotaBlock(scope, "tasks", limit.maxTasks(), use.tasks, Long.MAX_VALUE / 4);
        } else if (use.cores + e.item.cores() > limit.maxCores() + 1e-9) {
            return new QuotaBlock(scope, "cores", limit.maxCores(), use.cores, Long.MAX_VALUE / 4);
        } else if (use.memory + e.item.memory() > limit.maxMemory() + 1e-9) {
            return new QuotaBlock(
                    scope, "memory", limit.maxMemory(), use.memory, Long.MAX_VALUE / 4);
        } else if (limit.perSecond() < Double.POSITIVE_INFINITY && !rate.has(now, name)) {
            return new QuotaBlock(
                    scope,
                    "tasks a second",
                    limit.perSecond(),
                    limit.perSecond(),
                    rate.ready(now, name));
        }
        return null;
    }

    private boolean withinRetries(long now, Entry e) {
        boolean machine =
                e.item.rejectedBy().isEmpty() || retries.has(now, "m" + e.item.rejectedBy());
        if (!machine || !retries.has(now, "o" + e.item.owner())) {
            return false;
        }
        retries.take(
                now,
                "o" + e.item.owner()); // the machine's is taken when something is offered there
        return true;
    }

    private long retryReady(long now, Entry e) {
        long own = retries.ready(now, "o" + e.item.owner());
        return e.item.rejectedBy().isEmpty()
                ? own
                : Math.max(own, retries.ready(now, "m" + e.item.rejectedBy()));
    }

    /**
     * Releases what may go now. A release may lead to calls of this very object, so each step looks
     * anew.
     */
    private void pump(long now, Consumer<Action> actions) {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            for (Entry e = next(now); e != null; e = next(now)) {
                releases++;
                unqueue(now, e);
                count(e, -1);
                release(now, e, actions);
            }
            lookAgain(now, actions);
        } finally {
            pumping = false;
        }
    }

    /**
     * Those whose time came get at most half of the window, so that what fits nowhere never keeps
     * others waiting.
     */
    private void lookAgain(long now, Consumer<Action> actions) {
        if (due.isEmpty()) {
            return;
        }
        for (Entry e : due.stream().limit(SCAN).toList()) {
            if (2 * lookedAgain >= settings.maxDispatched()
                    || asked.size() >= settings.maxDispatched()) {
                break;
            }
            if (due.contains(e) && hold(now, e) == null && !gathersAgainst(now, e)) {
                due.remove(e);
                parked.remove(e);
                count(e, -1);
                e.again = true;
                lookedAgain++;
                release(now, e, actions);
            }
        }
    }

    private Entry next(long now) {
        if (asked.size() >= settings.maxDispatched()) {
            return null;
        }
        if ((releases + 1) % settings.oldestEvery() == 0) {
            for (Entry e : oldest) {
                if (sharedHold(now, e) == null && !gathersAgainst(now, e)) {
                    return e;
                }
            }
        }
        Entry best = null;
        double least = Double.POSITIVE_INFINITY;
        for (Tenant t : tenants.values()) {
            double share = t.heads.isEmpty() ? Double.POSITIVE_INFINITY : dominant(t);
            if (share < least) {
                Entry first = firstOf(now, t);
                if (first != null) {
                    best = first;
                    least = share;
                }
            }
        }
        return best;
    }

    private double dominant(Tenant t) {
        return fleet.dominantShare(t.use.cores, t.use.memory) / settings.shareOf(t.use.name);
    }

    private Entry firstOf(long now, Tenant t) {
        return t.heads.stream()
                .limit(SCAN)
                .filter(e -> sharedHold(now, e) == null && !gathersAgainst(now, e))
                .findFirst()
                .orElse(null);
    }

    private void release(long now, Entry e, Consumer<Action> actions) {
        e.where = Stage.DISPATCHED;
        e.askedAt = now;
        asked.put(e.item.requestId(), e);
        busy(e, 1);
        if (e.first) {
            e.first = false;
            overloaded.waited(e.waited(now));
            String tenant = e.owner.tenant.use.name;
            ownerRate(e.item.owner()).take(now, e.item.owner());
            tenantRate(tenant).take(now, tenant);
            allRate.take(now, "");
        }
        list(now, e.owner);
        actions.accept(
                new Dispatch(e.item.requestId(), Math.max(0, e.item.deadlineMicros() - now)));
    }

    // ---- time ----
    /** Time passes; to be called about fifty times a second. */
    public void tick(long now, Consumer<Action> actions) {
        long late = lastTick == Long.MIN_VALUE ? 0 : now - lastTick;
        lastTick = now;
        while (!deadlines.isEmpty() && deadlines.peek().at() <= now) {
            Entry e = deadlines.poll().entry();
            if (waits(e) && entries.get(e.item.requestId()) == e) {
                late(now, e);
                turn(now, e, "no room came before its patience ended", actions);
            }
        }
        while (!ownerWakes.isEmpty() && ownerWakes.peek() <= now) {
            ownerWakes.poll();
            if (ownerWakes.isEmpty() || ownerWakes.peek() > now) {
                new ArrayList<>(owners.values())
                        .stream().filter(o -> o.hold != null).forEach(o -> list(now, o));
            }
        }
        wake(now);
        if (late <= TICK_LATE) {
            takeBack(now, actions);
            shed(now, actions);
        } else {
            overloaded.begin(now);
        }
        gather(now);
        pump(now, actions);
    }

    private void wake(long now) {
        while (!wakes.isEmpty() && wakes.peek().at() <= now) {
            Entry e = wakes.poll().entry();
            if (e.where == Stage.BACKING_OFF && now >= e.notBefore) {
                if (e.forRetry) {
                    unpark(now, e);
                } else {
                    due.add(e);
                }
            }
        }
        if (fleet.takeCapacityGained() && !parked.isEmpty()) {
            for (Entry e : firstParked()) {
                if (!e.forRetry && fleet.hasCapacity(e.item.cores(), e.item.memory())) {
                    unpark(now, e);
                }
            }
        }
    }

    private List<Entry> firstParked() {
        return parked.stream().limit(SCAN).toList();
    }

    private void park(long now, Entry e, long until, boolean forRetry) {
        e.where = Stage.BACKING_OFF;
        e.notBefore = Math.max(now + 1, until);
        e.forRetry = forRetry;
        parked.add(e);
        wakes.add(new Due(e.notBefore, e));
    }

    private void unpark(long now, Entry e) {
        if (e.forRetry && !withinRetries(now, e) && e.item.deadlineMicros() - now > 3 * EARLY) {
            e.notBefore =
                    Math.max(
                            now + 1,
                            Math.min(retryReady(now, e), e.item.deadlineMicros() - 2 * EARLY));
            wakes.add(new Due(e.notBefore, e));
            return;
        }
        parked.remove(e);
        due.remove(e);
        e.forRetry = false;
        enqueue(now, e);
    }

    /**
     * Guards against a window full of tasks that find no room while others wait that would: what
     * the module holds for long and never offered goes back, so nothing that it knows of the task's
     * attempts is lost.
     */
    private void takeBack(long now, Consumer<Action> actions) {
        if (asked.size() < settings.maxDispatched() || all.waiting == 0) {
            return;
        }
        for (Entry e : new ArrayList<>(asked.values())) {
            if (now - e.askedAt < settings.recallAfterMicros()) {
                break; // in the order asked
            }
            if (!e.offeredEver && e.item.deadlineMicros() - now > 2 * EARLY) {
                unask(e);
                busy(e, -1);
                count(e, 1);
                long most = settings.backoffMicros() * LOOK_AGAIN_FACTOR;
                long wait = e.couldFit ? settings.backoffMicros() << Math.min(4, e.looks++) : most;
                park(
                        now,
                        e,
                        Math.min(now + Math.min(wait, most), e.item.deadlineMicros() - 2 * EARLY),
                        false);
                list(now, e.owner);
                actions.accept(new Recall(e.item.requestId()));
            }
        }
    }

    // ---- overload ----
    private void shed(long now, Consumer<Action> actions) {
        if (all.waiting == 0) {
            overloaded.waited(0);
        } else if (overloaded.untold()) {
            // nothing was released: what would be next tells how it stands
            Entry next =
                    oldest.stream()
                            .limit(SCAN)
                            .filter(e -> sharedHold(now, e) == null)
                            .findFirst()
                            .orElse(parked.isEmpty() ? null : parked.first());
            double waited = next == null ? 0 : next.waited(now);
            if (waited < settings.targetWaitFraction() || overloaded.intervalOver(now)) {
                overloaded.waited(waited);
            }
        }
        overloaded.tick(now);
        while (all.waiting > 0 && overloaded.sheds(now)) {
            shedWorst(now, "the placer is overloaded: tasks of more worth come first", actions);
        }
        for (int i = 0; i < SCAN && overloaded.pressed(now); i++) {
            Entry worst = worst();
            if (worst == null || wouldWait(worst) <= worst.item.deadlineMicros() - now) {
                break;
            }
            shedTotal++;
            turn(now, worst, "the placer is overloaded: its turn would not come in time", actions);
        }
    }

    /**
     * How long it would wait behind all of its tenant that are worth as much or more, at the
     * present rate of placing.
     */
    private double wouldWait(Entry e) {
        Tenant t = e.owner.tenant;
        int ahead =
                t.byWorth.tailMap(e.item.priorityWeight(), true).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
        return ahead * 1e6 / Math.max(0.1, overloaded.placedPerSecond() * part(t));
    }

    private void shedWorst(long now, String why, Consumer<Action> actions) {
        Entry worst = worst();
        if (worst != null) {
            shedTotal++;
            turn(now, worst, why, actions);
        }
    }

    /** The last in order of the tenant that is furthest above its share. */
    private Entry worst() {
        Tenant most = null;
        for (Tenant t : tenants.values()) {
            if (t.use.waiting > 0 && (most == null || pressure(t) > pressure(most))) {
                most = t;
            }
        }
        Entry worst = null;
        for (Owner o : owners.values()) {
            if (o.tenant == most
                    && !o.queue.isEmpty()
                    && (worst == null || ORDER.compare(o.queue.last(), worst) > 0)) {
                worst = o.queue.last();
            }
        }
        return worst == null && !parked.isEmpty() ? parked.last() : worst;
    }

    private double pressure(Tenant t) {
        return (t.use.waiting + t.use.tasks) / settings.shareOf(t.use.name);
    }

    private void turn(long now, Entry e, String why, Consumer<Action> actions) {
        entries.remove(e.item.requestId());
        drop(now, e);
        actions.accept(new Shed(e.item.requestId(), why, overloaded.retryAfter(now)));
    }

    /** After how long one who is turned away now is to ask again, spread by chance. */
    public long retryAfter(long now) {
        return overloaded.retryAfter(now);
    }

    // ---- large tasks ----
    /**
     * Whether a smaller task of less worth is held back now; a short one that ends in time is let
     * by.
     */
    private boolean gathersAgainst(long now, Entry e) {
        if (gatherFor == null
                || now >= gatherUntil
                || e == gatherFor
                || e.item.priorityWeight() >= gatherFor.item.priorityWeight()) {
            return false;
        }
        boolean backfill =
                e.item.expectedRunMicros() > 0 && now + e.item.expectedRunMicros() <= gatherUntil;
        return !backfill
                && !fleet.isLarge(e.item.cores(), e.item.memory(), settings.largeTaskFraction());
    }

    private void gather(long now) {
        if (gatherFor != null
                && (now >= gatherUntil
                        || gatherFor.where == Stage.PLACED
                        || gatherFor.where == Stage.OFFERED)) {
            gatherFor = null;
        }
        if (gatherFor != null
                || now < gatherNext
                || settings.reserveForMicros() <= 0
                || settings.largeTaskFraction() >= 1) {
            return;
        }
        Entry largest = null;
        List<Entry> candidates = new ArrayList<>(asked.values());
        candidates.addAll(firstParked());
        for (Entry e : candidates) {
            boolean waitsForRoom =
                    now - e.arrived >= settings.reserveAfterMicros()
                            && !e.forRetry
                            && fleet.isLarge(
                                    e.item.cores(), e.item.memory(), settings.largeTaskFraction());
            if (waitsForRoom && (largest == null || ORDER.compare(e, largest) < 0)) {
                largest = e;
            }
        }
        if (largest != null) {
            gatherFor = largest;
            gatherUntil = now + settings.reserveForMicros();
            gatherNext = gatherUntil + GATHER_REST * settings.reserveForMicros();
        }
    }

    // ---- to be read ----
    /** Where a request stands, and what holds it. */
    public Status status(long now, String request) {
        Entry e = entries.get(request);
        if (e == null) {
            return new Status(Stage.UNKNOWN, null, 0, false, false, 0);
        }
        QuotaBlock hold = null;
        boolean behind = false;
        boolean gathering = false;
        if (e.where == Stage.QUEUED) {
            hold = e.owner.hold != null ? e.owner.hold : sharedHold(now, e);
            gathering = gathersAgainst(now, e);
            double own = dominant(e.owner.tenant);
            for (Tenant t : tenants.values()) {
                behind |= t != e.owner.tenant && !t.heads.isEmpty() && dominant(t) < own;
            }
        } else if (e.where == Stage.BACKING_OFF && e.forRetry) {
            hold =
                    new QuotaBlock(
                            QuotaScope.OWNER, "asks again", settings.retryRatio(), 0, e.notBefore);
        } else if (e.where == Stage.BACKING_OFF && due.contains(e)) {
            hold = hold(now, e);
        }
        return new Status(e.where, hold, e.notBefore, behind, gathering, e.arrived);
    }

    /** How many of its tenant come before it, counted up to {@code most}. */
    public int countAhead(String request, int most) {
        Entry e = entries.get(request);
        if (e == null || e.where != Stage.QUEUED) {
            return 0;
        }
        int n = 0;
        for (Owner o : owners.values()) {
            if (o.tenant == e.owner.tenant && o.hold == null) {
                for (Entry other : o.queue) {
                    if (ORDER.compare(other, e) >= 0 || n >= most) {
                        break;
                    }
                    n++;
                }
            }
        }
        return n;
    }

    public boolean overloaded() {
        return overloaded.on();
    }

    /** Tasks in the line and parked. */
    public int waitingCount() {
        return all.waiting;
    }

    public QueueCounts counts() {
        return new QueueCounts(
                all.waiting - parked.size(),
                parked.size(),
                asked.size(),
                attemptStarted,
                placed,
                overloaded.on(),
                shedTotal);
    }

    public List<QuotaUsage> tenantUsage() {
        return tenants.values().stream()
                .map(
                        t ->
                                new QuotaUsage(
                                        t.use.name,
                                        t.use.waiting,
                                        t.use.tasks,
                                        t.use.cores,
                                        t.use.memory,
                                        fleet.dominantShare(t.use.cores, t.use.memory),
                                        settings.quotaOfTenant(t.use.name)))
                .toList();
    }

    /** An owner's use; zeros where nothing of it is in hand. */
    public QuotaUsage ownerUsage(String name) {
        Owner o = owners.get(name);
        Group g = o == null ? new Group(name) : o.use;
        return new QuotaUsage(
                name,
                g.waiting,
                g.tasks,
                g.cores,
                g.memory,
                fleet.dominantShare(g.cores, g.memory),
                settings.quotaOfOwner(name));
    }

    public QuotaUsage siteUsage() {
        return new QuotaUsage(
                "",
                all.waiting,
                all.tasks,
                all.cores,
                all.memory,
                fleet.dominantShare(all.cores, all.memory),
                settings.siteQuota());
    }

    /** A hold in words, as an owner may read it. */
    public static String describe(QuotaBlock h) {
        String whose =
                h.scope() == QuotaScope.OWNER
                        ? "your limit of "
                        : h.scope() == QuotaScope.TENANT
                                ? "your tenant's limit of "
                                : "the site's limit of ";
        return whose
                + (h.quota().equals("asks again")
                        ? "asks again"
                        : Amounts.format(h.limit()) + " " + h.quota())
                + " is reached";
    }
}
