package thornferry.decisions;

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
import thornferry.decisions.LineSettings.Limit;

/**
 * The waiting line: which task the module is asked to place next, which waits, and which is refused
 * early.
 *
 * <p>Between tenants the one with the lowest dominant share for its weight comes next, within a
 * tenant the class of most worth, then first asks, then the earliest deadline; every {@link
 * LineSettings#oldestTurn}-th turn is the oldest's. So <b>a task that no limit holds is asked for
 * after at most {@code oldestTurn * (n + 1)} others</b>, n being those that came before it and wait
 * still. The line never says where a task goes. Times are microseconds.
 */
public final class Line {
    /**
     * One ask. {@code turnedBy} is the machine that turned the task down last time, empty for none;
     * {@code runsFor} 0 if unknown.
     */
    public record Item(
            String request,
            String owner,
            String tenant,
            String taskClass,
            double worth,
            double cores,
            double memory,
            long deadline,
            long runsFor,
            boolean again,
            String turnedBy) {}

    /** Where a task stands. */
    public enum Where {
        NOWHERE,
        LINE,
        PARKED,
        ASKED,
        OFFERED,
        PLACED
    }

    /**
     * A limit that holds a task back: whose ({@link Scope}), which, how much it allows, and until
     * when if by time.
     */
    public record Hold(Scope scope, String limit, double allows, double uses, long until) {}

    public enum Scope {
        OWNER,
        TENANT,
        ALL
    }

    /**
     * @param hold the limit that holds it, or null
     * @param nextLook of a parked one: when it is asked for again at the latest
     * @param behind its tenant is above its share and others come first
     * @param gathering room is kept for a larger task
     */
    public record Standing(
            Where where,
            Hold hold,
            long nextLook,
            boolean behind,
            boolean gathering,
            long arrived) {}

    public sealed interface Action {}

    /** Ask the module; so much patience is left. */
    public record Release(String request, long patience) implements Action {}

    /** The module no longer needs to hold it: it was never offered and waits in the line again. */
    public record TakeBack(String request) implements Action {}

    /** Refuse it now rather than late. */
    public record Turn(String request, String why, long retryAfter) implements Action {}

    /** Sums for operators. {@code overload} whether tasks are being shed. */
    public record Counts(
            int line,
            int parked,
            int asked,
            int offered,
            int placed,
            boolean overload,
            long shed) {}

    /** A tenant's or owner's use of its limits. */
    public record Use(
            String name,
            int waiting,
            int tasks,
            double cores,
            double memory,
            double share,
            Limit limit) {}

    private static final class Entry {
        final Item item;
        final long seq;
        final long arrived;
        Owner owner;
        Where where = Where.LINE;
        boolean couldFit; // some machine known at its coming is large enough
        boolean first = true; // not asked for yet
        boolean offeredEver;
        long askedAt;
        long notBefore;
        int looks;
        boolean again; // asked for because its time came
        boolean forRetry; // parked by the budget of asks again, not for room

        Entry(Item item, long seq, long arrived) {
            this.item = item;
            this.seq = seq;
            this.arrived = arrived;
        }

        /** The part of its patience that is over. */
        double waited(long now) {
            return (now - arrived) / (double) Math.max(1, item.deadline() - arrived);
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
        Hold hold;
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
            Comparator.<Entry>comparingDouble(e -> -e.item.worth())
                    .thenComparing(e -> e.item.again())
                    .thenComparingLong(e -> e.item.deadline())
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

    private final Fleet fleet;
    private LineSettings settings;
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
    private final Buckets ownerRate = new Buckets(0, Double.POSITIVE_INFINITY);
    private final Map<String, Buckets> ownRates =
            new HashMap<>(); // of owners and tenants with a limit of their own
    private final Buckets tenantRate = new Buckets(0, Double.POSITIVE_INFINITY);
    private final Buckets allRate = new Buckets(0, Double.POSITIVE_INFINITY);
    private final Buckets retries = new Buckets(0, 1);
    private long seq;
    private int offered;
    private int placed;
    private int lookedAgain; // of those asked: ones whose time came
    private long releases;
    private boolean pumping;
    private final Overload overload;
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
    public Line(LineSettings settings, Fleet fleet, long seed) {
        this.fleet = fleet;
        this.overload = new Overload(settings, seed);
        use(settings);
    }

    private void use(LineSettings s) {
        settings = s;
        overload.use(s);
        ownerRate.set(s.owner().perSecond(), s.owner().burst());
        tenantRate.set(s.tenant().perSecond(), s.tenant().burst());
        allRate.set(s.all().perSecond(), s.all().burst());
        retries.set(s.retryPerSecond(), Math.max(5, 2 * s.retryPerSecond()));
        ownRates.clear();
        s.owners()
                .forEach(
                        (name, l) ->
                                ownRates.put("o" + name, new Buckets(l.perSecond(), l.burst())));
        s.tenants()
                .forEach(
                        (name, l) ->
                                ownRates.put("t" + name, new Buckets(l.perSecond(), l.burst())));
    }

    /**
     * Other settings from now on. What waits keeps its place and what runs goes on, also above a
     * new limit.
     */
    public void reload(long now, LineSettings s, Consumer<Action> actions) {
        use(s);
        for (Owner o : owners.values()) {
            list(now, o);
        }
        pump(now, actions);
    }

    // ---- what comes and goes ----
    /** A task is asked for. It is released, waits, or is refused at once. */
    public void arrived(long now, Item item, Consumer<Action> actions) {
        Entry e = new Entry(item, seq++, now);
        Entry before = entries.put(item.request(), e);
        if (before != null) {
            drop(now, before);
        }
        e.owner = owner(item);
        e.couldFit = fleet.everFits(item.cores(), item.memory());
        if (!settings.on()) {
            release(now, e, actions);
            return;
        }
        if (!item.again()) {
            overload.firstAsk();
            retries.add(now, "o" + item.owner(), settings.retryShare());
        }
        String no = turnedAway(now, e);
        if (no != null) {
            entries.remove(item.request());
            forgetIdle(e.owner);
            actions.accept(new Turn(item.request(), no, overload.retryAfter(now)));
            return;
        }
        count(e, 1);
        deadlines.add(new Due(item.deadline() - EARLY, e));
        if (!item.again() || withinRetries(now, e)) {
            enqueue(now, e);
        } else {
            // guards against owners who ask again and again, and machines that turn down again and
            // again
            park(now, e, Math.min(retryReady(now, e), item.deadline() - 2 * EARLY), true);
        }
        pump(now, actions);
        if (all.waiting > settings.length()) {
            shedWorst(now, "the line is full: " + settings.length() + " tasks wait", actions);
        }
        if (item.deadline() - now <= EARLY && entries.get(item.request()) == e && waits(e)) {
            turn(now, e, "no time was left to place it", actions);
        }
    }

    private Owner owner(Item item) {
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
        Item i = e.item;
        Limit own = settings.ofOwner(i.owner());
        Limit tenant = settings.ofTenant(i.tenant());
        if (i.cores() > own.cores() || i.memory() > own.memory()) {
            return "it asks for more than your limit of "
                    + Words.number(own.cores())
                    + " cores and "
                    + Words.number(own.memory())
                    + " memory";
        } else if (i.cores() > tenant.cores()
                || i.memory() > tenant.memory()
                || i.cores() > settings.all().cores()
                || i.memory() > settings.all().memory()) {
            return "it asks for more than your tenant or the site may have at all";
        } else if (e.owner.use.waiting >= own.waiting()) {
            return "your limit of waiting tasks: " + Words.number(own.waiting());
        } else if (e.owner.tenant.use.waiting >= tenant.waiting()) {
            return "your tenant's limit of waiting tasks: " + Words.number(tenant.waiting());
        }
        if (settings.refuse().contains(i.taskClass())) {
            Hold hold = hold(now, e);
            if (hold != null) {
                return words(hold)
                        + ", and tasks of class "
                        + i.taskClass()
                        + " do not wait for it";
            }
        }
        if (overload.pressed(now)) {
            // guards against answering late what can be answered early: it would wait in vain
            double ahead = wouldWait(e);
            if (ahead > i.deadline() - now) {
                return "the placer is overloaded: about "
                        + Words.number(Math.rint(ahead / 1e5) / 10)
                        + " s would pass before its turn";
            }
        }
        return null;
    }

    /** A tenant's part of what is placed, among those that wait now. */
    private double part(Tenant of) {
        double sum = 0;
        for (Tenant t : tenants.values()) {
            sum += t == of || t.use.waiting > 0 ? settings.share(t.use.name) : 0;
        }
        return settings.share(of.use.name) / sum;
    }

    /** The module offers it to a machine. */
    public void offered(long now, String request, String machine, boolean repeat) {
        Entry e = entries.get(request);
        if (repeat || e != null && e.item.again()) {
            retries.take(now, "m" + machine);
        } else {
            retries.add(now, "m" + machine, settings.retryShare());
        }
        if (e != null && e.where == Where.ASKED) {
            unask(e);
            e.where = Where.OFFERED;
            e.offeredEver = true;
            offered++;
        }
    }

    /** The attempt is over and the module holds the task again, or offers it elsewhere next. */
    public void attemptOver(long now, String request) {
        Entry e = entries.get(request);
        if (e != null && e.where == Where.OFFERED) {
            offered--;
            e.where = Where.ASKED;
            e.askedAt = now;
            asked.put(request, e);
        }
    }

    public void placed(long now, String request, Consumer<Action> actions) {
        Entry e = entries.get(request);
        if (e == null || e.where != Where.ASKED && e.where != Where.OFFERED) {
            return;
        }
        leave(now, e);
        e.where = Where.PLACED;
        placed++;
        overload.placed();
        pump(now, actions);
    }

    /** Work that runs already, taken over: it counts against its owner's and tenant's limits. */
    public void adopted(long now, Item item) {
        Entry e = new Entry(item, seq++, now);
        entries.put(item.request(), e);
        e.owner = owner(item);
        e.where = Where.PLACED;
        placed++;
        busy(e, 1);
    }

    /**
     * Nothing is owed for the request any more: refused, failed, stopped, or its placed task is
     * over.
     */
    public void over(long now, String request, Consumer<Action> actions) {
        Entry e = entries.remove(request);
        if (e != null) {
            if (e.where == Where.ASKED && now >= e.item.deadline() - EARLY) {
                late(now, e);
            }
            drop(now, e);
            pump(now, actions);
        }
    }

    /** Only what waited long, could have been taken and was held by no limit tells of overload. */
    private void late(long now, Entry e) {
        boolean hasty = e.item.deadline() - e.arrived < settings.interval() / 2;
        if (e.couldFit
                && !hasty
                && !e.forRetry
                && (e.where != Where.LINE || e.owner.hold == null)) {
            overload.late(now);
        }
    }

    private void drop(long now, Entry e) {
        leave(now, e);
        if (e.where == Where.PLACED) {
            placed--;
        }
        if (!waits(e)) {
            busy(e, -1);
            list(now, e.owner);
        }
        e.where = Where.NOWHERE;
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
            case LINE -> {
                unqueue(now, e);
                count(e, -1);
            }
            case PARKED -> {
                parked.remove(e);
                due.remove(e);
                count(e, -1);
            }
            case ASKED -> unask(e);
            case OFFERED -> offered--;
            default -> {}
        }
    }

    private void unask(Entry e) {
        asked.remove(e.item.request());
        lookedAgain -= e.again ? 1 : 0;
        e.again = false;
    }

    private static boolean waits(Entry e) {
        return e.where == Where.LINE || e.where == Where.PARKED;
    }

    private void count(Entry e, int sign) {
        e.owner.use.waiting += sign;
        e.owner.tenant.use.waiting += sign;
        all.waiting += sign;
        if (e.couldFit) {
            e.owner.tenant.byWorth.merge(
                    e.item.worth(), sign, (a, b) -> a + b == 0 ? null : Integer.valueOf(a + b));
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
        e.where = Where.LINE;
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
        if (o.hold != null && o.hold.until() < Long.MAX_VALUE / 8 && o.wakeAt <= now) {
            o.wakeAt = o.hold.until();
            ownerWakes.add(o.wakeAt);
        }
    }

    private Hold hold(long now, Entry e) {
        Hold own = ownHold(now, e);
        return own != null ? own : sharedHold(now, e);
    }

    private Hold ownHold(long now, Entry e) {
        String name = e.item.owner();
        return hold(
                now, Scope.OWNER, settings.ofOwner(name), e.owner.use, e, ownerRate(name), name);
    }

    private Hold sharedHold(long now, Entry e) {
        Tenant t = e.owner.tenant;
        Hold hold =
                hold(
                        now,
                        Scope.TENANT,
                        settings.ofTenant(t.use.name),
                        t.use,
                        e,
                        tenantRate(t.use.name),
                        t.use.name);
        return hold != null ? hold : hold(now, Scope.ALL, settings.all(), all, e, allRate, "");
    }

    private Buckets ownerRate(String name) {
        return ownRates.isEmpty() ? ownerRate : ownRates.getOrDefault("o" + name, ownerRate);
    }

    private Buckets tenantRate(String name) {
        return ownRates.isEmpty() ? tenantRate : ownRates.getOrDefault("t" + name, tenantRate);
    }

    private static Hold hold(
            long now, Scope scope, Limit limit, Group use, Entry e, Buckets rate, String name) {
        if (use.tasks + 1 > limit.tasks()) {
            return new Hold(scope, "tasks", limit.tasks(), use.tasks, Long.MAX_VALUE / 4);
        } else if (use.cores + e.item.cores() > limit.cores() + 1e-9) {
            return new Hold(scope, "cores", limit.cores(), use.cores, Long.MAX_VALUE / 4);
        } else if (use.memory + e.item.memory() > limit.memory() + 1e-9) {
            return new Hold(scope, "memory", limit.memory(), use.memory, Long.MAX_VALUE / 4);
        } else if (limit.perSecond() < Double.POSITIVE_INFINITY && !rate.has(now, name)) {
            return new Hold(
                    scope,
                    "tasks a second",
                    limit.perSecond(),
                    limit.perSecond(),
                    rate.ready(now, name));
        }
        return null;
    }

    private boolean withinRetries(long now, Entry e) {
        boolean machine = e.item.turnedBy().isEmpty() || retries.has(now, "m" + e.item.turnedBy());
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
        return e.item.turnedBy().isEmpty()
                ? own
                : Math.max(own, retries.ready(now, "m" + e.item.turnedBy()));
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
            if (2 * lookedAgain >= settings.window() || asked.size() >= settings.window()) {
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
        if (asked.size() >= settings.window()) {
            return null;
        }
        if ((releases + 1) % settings.oldestTurn() == 0) {
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
        return fleet.dominant(t.use.cores, t.use.memory) / settings.share(t.use.name);
    }

    private Entry firstOf(long now, Tenant t) {
        return t.heads.stream()
                .limit(SCAN)
                .filter(e -> sharedHold(now, e) == null && !gathersAgainst(now, e))
                .findFirst()
                .orElse(null);
    }

    private void release(long now, Entry e, Consumer<Action> actions) {
        e.where = Where.ASKED;
        e.askedAt = now;
        asked.put(e.item.request(), e);
        busy(e, 1);
        if (e.first) {
            e.first = false;
            overload.waited(e.waited(now));
            String tenant = e.owner.tenant.use.name;
            ownerRate(e.item.owner()).take(now, e.item.owner());
            tenantRate(tenant).take(now, tenant);
            allRate.take(now, "");
        }
        list(now, e.owner);
        actions.accept(new Release(e.item.request(), Math.max(0, e.item.deadline() - now)));
    }

    // ---- time ----
    /** Time passes; to be called about fifty times a second. */
    public void tick(long now, Consumer<Action> actions) {
        long late = lastTick == Long.MIN_VALUE ? 0 : now - lastTick;
        lastTick = now;
        while (!deadlines.isEmpty() && deadlines.peek().at() <= now) {
            Entry e = deadlines.poll().entry();
            if (waits(e) && entries.get(e.item.request()) == e) {
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
            overload.begin(now);
        }
        gather(now);
        pump(now, actions);
    }

    private void wake(long now) {
        while (!wakes.isEmpty() && wakes.peek().at() <= now) {
            Entry e = wakes.poll().entry();
            if (e.where == Where.PARKED && now >= e.notBefore) {
                if (e.forRetry) {
                    unpark(now, e);
                } else {
                    due.add(e);
                }
            }
        }
        if (fleet.takeNews() && !parked.isEmpty()) {
            for (Entry e : firstParked()) {
                if (!e.forRetry && fleet.mayFit(e.item.cores(), e.item.memory())) {
                    unpark(now, e);
                }
            }
        }
    }

    private List<Entry> firstParked() {
        return parked.stream().limit(SCAN).toList();
    }

    private void park(long now, Entry e, long until, boolean forRetry) {
        e.where = Where.PARKED;
        e.notBefore = Math.max(now + 1, until);
        e.forRetry = forRetry;
        parked.add(e);
        wakes.add(new Due(e.notBefore, e));
    }

    private void unpark(long now, Entry e) {
        if (e.forRetry && !withinRetries(now, e) && e.item.deadline() - now > 3 * EARLY) {
            e.notBefore =
                    Math.max(now + 1, Math.min(retryReady(now, e), e.item.deadline() - 2 * EARLY));
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
        if (asked.size() < settings.window() || all.waiting == 0) {
            return;
        }
        for (Entry e : new ArrayList<>(asked.values())) {
            if (now - e.askedAt < settings.takeBack()) {
                break; // in the order asked
            }
            if (!e.offeredEver && e.item.deadline() - now > 2 * EARLY) {
                unask(e);
                busy(e, -1);
                count(e, 1);
                long most = settings.lookAgain() * LOOK_AGAIN_FACTOR;
                long wait = e.couldFit ? settings.lookAgain() << Math.min(4, e.looks++) : most;
                park(
                        now,
                        e,
                        Math.min(now + Math.min(wait, most), e.item.deadline() - 2 * EARLY),
                        false);
                list(now, e.owner);
                actions.accept(new TakeBack(e.item.request()));
            }
        }
    }

    // ---- overload ----
    private void shed(long now, Consumer<Action> actions) {
        if (all.waiting == 0) {
            overload.waited(0);
        } else if (overload.untold()) {
            // nothing was released: what would be next tells how it stands
            Entry next =
                    oldest.stream()
                            .limit(SCAN)
                            .filter(e -> sharedHold(now, e) == null)
                            .findFirst()
                            .orElse(parked.isEmpty() ? null : parked.first());
            double waited = next == null ? 0 : next.waited(now);
            if (waited < settings.target() || overload.intervalOver(now)) {
                overload.waited(waited);
            }
        }
        overload.tick(now);
        while (all.waiting > 0 && overload.sheds(now)) {
            shedWorst(now, "the placer is overloaded: tasks of more worth come first", actions);
        }
        for (int i = 0; i < SCAN && overload.pressed(now); i++) {
            Entry worst = worst();
            if (worst == null || wouldWait(worst) <= worst.item.deadline() - now) {
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
                t.byWorth.tailMap(e.item.worth(), true).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
        return ahead * 1e6 / Math.max(0.1, overload.placedPerSecond() * part(t));
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
        return (t.use.waiting + t.use.tasks) / settings.share(t.use.name);
    }

    private void turn(long now, Entry e, String why, Consumer<Action> actions) {
        entries.remove(e.item.request());
        drop(now, e);
        actions.accept(new Turn(e.item.request(), why, overload.retryAfter(now)));
    }

    /** After how long one who is turned away now is to ask again, spread by chance. */
    public long retryAfter(long now) {
        return overload.retryAfter(now);
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
                || e.item.worth() >= gatherFor.item.worth()) {
            return false;
        }
        boolean backfill = e.item.runsFor() > 0 && now + e.item.runsFor() <= gatherUntil;
        return !backfill && !fleet.large(e.item.cores(), e.item.memory(), settings.large());
    }

    private void gather(long now) {
        if (gatherFor != null
                && (now >= gatherUntil
                        || gatherFor.where == Where.PLACED
                        || gatherFor.where == Where.OFFERED)) {
            gatherFor = null;
        }
        if (gatherFor != null
                || now < gatherNext
                || settings.gatherFor() <= 0
                || settings.large() >= 1) {
            return;
        }
        Entry largest = null;
        List<Entry> candidates = new ArrayList<>(asked.values());
        candidates.addAll(firstParked());
        for (Entry e : candidates) {
            boolean waitsForRoom =
                    now - e.arrived >= settings.gatherAfter()
                            && !e.forRetry
                            && fleet.large(e.item.cores(), e.item.memory(), settings.large());
            if (waitsForRoom && (largest == null || ORDER.compare(e, largest) < 0)) {
                largest = e;
            }
        }
        if (largest != null) {
            gatherFor = largest;
            gatherUntil = now + settings.gatherFor();
            gatherNext = gatherUntil + GATHER_REST * settings.gatherFor();
        }
    }

    // ---- to be read ----
    /** Where a request stands, and what holds it. */
    public Standing standing(long now, String request) {
        Entry e = entries.get(request);
        if (e == null) {
            return new Standing(Where.NOWHERE, null, 0, false, false, 0);
        }
        Hold hold = null;
        boolean behind = false;
        boolean gathering = false;
        if (e.where == Where.LINE) {
            hold = e.owner.hold != null ? e.owner.hold : sharedHold(now, e);
            gathering = gathersAgainst(now, e);
            double own = dominant(e.owner.tenant);
            for (Tenant t : tenants.values()) {
                behind |= t != e.owner.tenant && !t.heads.isEmpty() && dominant(t) < own;
            }
        } else if (e.where == Where.PARKED && e.forRetry) {
            hold = new Hold(Scope.OWNER, "asks again", settings.retryShare(), 0, e.notBefore);
        } else if (e.where == Where.PARKED && due.contains(e)) {
            hold = hold(now, e);
        }
        return new Standing(e.where, hold, e.notBefore, behind, gathering, e.arrived);
    }

    /** How many of its tenant come before it, counted up to {@code most}. */
    public int ahead(String request, int most) {
        Entry e = entries.get(request);
        if (e == null || e.where != Where.LINE) {
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

    public boolean overload() {
        return overload.on();
    }

    /** Tasks in the line and parked. */
    public int waiting() {
        return all.waiting;
    }

    public Counts counts() {
        return new Counts(
                all.waiting - parked.size(),
                parked.size(),
                asked.size(),
                offered,
                placed,
                overload.on(),
                shedTotal);
    }

    public List<Use> tenantUse() {
        return tenants.values().stream()
                .map(
                        t ->
                                new Use(
                                        t.use.name,
                                        t.use.waiting,
                                        t.use.tasks,
                                        t.use.cores,
                                        t.use.memory,
                                        fleet.dominant(t.use.cores, t.use.memory),
                                        settings.ofTenant(t.use.name)))
                .toList();
    }

    /** An owner's use; zeros where nothing of it is in hand. */
    public Use ownerUse(String name) {
        Owner o = owners.get(name);
        Group g = o == null ? new Group(name) : o.use;
        return new Use(
                name,
                g.waiting,
                g.tasks,
                g.cores,
                g.memory,
                fleet.dominant(g.cores, g.memory),
                settings.ofOwner(name));
    }

    public Use allUse() {
        return new Use(
                "",
                all.waiting,
                all.tasks,
                all.cores,
                all.memory,
                fleet.dominant(all.cores, all.memory),
                settings.all());
    }

    /** A hold in words, as an owner may read it. */
    public static String words(Hold h) {
        String whose =
                h.scope() == Scope.OWNER
                        ? "your limit of "
                        : h.scope() == Scope.TENANT
                                ? "your tenant's limit of "
                                : "the site's limit of ";
        return whose
                + (h.limit().equals("asks again")
                        ? "asks again"
                        : Words.number(h.allows()) + " " + h.limit())
                + " is reached";
    }
}
