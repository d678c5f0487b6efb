package thornferry.placer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.Attempts;
import thornferry.decisions.Fleet;
import thornferry.decisions.Intake;
import thornferry.decisions.Line;
import thornferry.decisions.LineSettings;
import thornferry.decisions.Membership;
import thornferry.decisions.Placement;
import thornferry.decisions.Reasons;
import thornferry.decisions.recovery.Promise;
import thornferry.decisions.recovery.Recovery;
import thornferry.state.Journal;

/**
 * The decision modules of one placer, wired to each other: what one of them decides is an event of
 * the next. It knows neither frames nor sockets and decides nothing; docs/design/placer.md and
 * waiting.md say what means what. Everything runs on one event loop.
 */
final class Core {
    /** What leads out of the modules. */
    interface Out {
        /**
         * Sends an offer; false where nothing was written. A write that fails later is told by
         * {@link #notWritten}.
         */
        boolean offer(String machine, String attempt, Intake.Offered of);

        void withdraw(String machine, String attempt);

        /** Sends a probe; false where nothing was written. */
        boolean probe(String machine, long number);

        void tellDrain(String machine, boolean on);

        /** A machine is admitted: it is to remember so long what it ran for this placer. */
        void welcome(String machine, long remember);

        void deliver(Intake.News news);

        void closeLink(long link, String why);

        /** A task's reason or state is another now. */
        void changed(Reasons.Changed changed);
    }

    /** An attempt that a machine says it holds. */
    record Held(String attempt, String owner, Intake.Wish wish, boolean runs) {}

    /** What a machine says of an attempt; {@code report} may be null. */
    record Said(String attempt, Attempts.Word word, Fleet.Said why, boolean ran, double[] report) {}

    private record Probing(long number, long sentAt) {}

    private static final Logger LOG = LoggerFactory.getLogger(Core.class);
    private static final int SLOW_TICK = 5; // membership is looked after every so many ticks
    private static final long PROBE_GIVEN_UP = 2_000_000;
    private static final int HISTORY = 32;

    private final String name;
    private final EventLoop loop;
    private final Clock clock;
    private final Out out;
    private final ModuleHost module;
    private final Membership membership;
    private final Attempts attempts;
    private final Intake intake;
    private final Recovery recovery;
    private final Journal journal;
    private final Set<String> unwritten =
            new HashSet<>(); // attempts whose promise is not durable yet: nothing was sent
    private final Map<String, List<Intake.News>> untold =
            new HashMap<>(); // by owner and task, until it is durable
    private final Fleet fleet;
    private final Line line;
    private final Reasons reasons;
    private final Function<String, String> tenants;
    private final Map<String, Placement.Effect> effects = new HashMap<>();
    private final Map<String, Double> worths = new HashMap<>();
    private final Map<String, Placement.Ask> asks =
            new HashMap<>(); // by request, until it is placed or answered
    private final Map<String, Probing> probing = new LinkedHashMap<>();
    private final Map<String, Held> adoptable = new HashMap<>(); // during one registration
    private List<Said> recent = List.of(); // likewise
    private List<Recovery.Recalled> recalled = List.of(); // likewise
    private Map<Placement.Effect, Long> remembersSince = Map.of(); // likewise
    private Fleet.Said saying = Fleet.Said.NONE; // during one answer
    private long probeNumber;
    private long resultCount;
    private long offerCount;
    private int ticks;

    /**
     * What former lives left.
     *
     * @param journal where this life writes
     * @param promises what stood in it
     * @param whole whether all that former lives offered stands in it
     */
    record Kept(Journal journal, List<Promise> promises, boolean whole) {
        static final Kept NOTHING = new Kept(Journal.NONE, List.of(), false);
    }

    /**
     * @param tenants gives an owner's tenant, empty for none
     */
    Core(
            Site site,
            int number,
            String name,
            EventLoop loop,
            Clock clock,
            Function<Placement.Settings, Placement> maker,
            Function<String, String> tenants,
            Kept kept,
            Out out) {
        this.name = name;
        this.loop = loop;
        this.clock = clock;
        this.out = out;
        this.tenants = tenants;
        Placement.Settings settings = site.moduleOf(number);
        long now = clock.now();
        settings.classes().forEach(c -> effects.put(c.name(), c.effect()));
        settings.classes().forEach(c -> worths.put(c.name(), c.worth()));
        module =
                new ModuleHost(
                        maker.apply(settings),
                        loop,
                        clock,
                        this::act,
                        this::moduleFailed,
                        LOG,
                        name);
        membership = new Membership(site.membership(), settings.kinds());
        attempts = new Attempts(name + "." + Long.toString(now, 36));
        intake =
                new Intake(
                        kept.whole() ? site.intake().withoutSettling() : site.intake(),
                        settings.classes(),
                        settings.seed(),
                        now);
        recovery =
                new Recovery(
                        new Recovery.Limits(
                                site.intake().keepFor(),
                                site.intake().mostPatience(),
                                site.membership().goneAfter(),
                                site.intake().kept(),
                                kept.whole()));
        journal = kept.journal();
        fleet = new Fleet(settings.kinds());
        line = new Line(site.line(), fleet, settings.seed());
        Map<String, String> needs = new HashMap<>();
        settings.classes().stream()
                .filter(c -> c.needsKind() >= 0)
                .forEach(c -> needs.put(c.name(), settings.kinds().get(c.needsKind()).name()));
        reasons =
                new Reasons(
                        new Reasons.Limits(
                                site.line().on(),
                                site.intake().kept(),
                                HISTORY,
                                site.intake().keepFor()),
                        fleet,
                        line,
                        needs,
                        membership::link);
        kept.promises().forEach(recovery::note);
        recovery.begin(now, this::carryOut);
        intake.unable(journal.trouble());
        loop.execute(
                () -> module.on(new Placement.MachineList(0, Placement.ListKind.FULL, List.of())));
    }

    /** What still counts of what was promised: the beginning of a journal. */
    List<Promise> promised() {
        return recovery.snapshot();
    }

    // ---- to be read; on the event loop ----
    Membership membership() {
        return membership;
    }

    Reasons reasons() {
        return reasons;
    }

    Line line() {
        return line;
    }

    int attemptsAt(String machine) {
        return attempts.count(machine);
    }

    Placer.Totals totals(long askCount) {
        return new Placer.Totals(
                askCount,
                resultCount,
                offerCount,
                module.failures(),
                intake.inHand(),
                attempts.size());
    }

    // ---- time ----
    void tick() {
        long now = clock.now();
        attempts.tick(now, this::carryOut);
        intake.tick(now, this::carryOut);
        line.tick(now, this::carryOut);
        reasons.tick(now, out::changed);
        if (++ticks % SLOW_TICK == 0) {
            membership.tick(now, this::carryOut);
            recovery.tick(now, this::carryOut);
            journal.compact(recovery::snapshot);
            intake.unable(journal.trouble());
            probing.entrySet()
                    .removeIf(
                            e -> {
                                boolean late = e.getValue().sentAt() < now - PROBE_GIVEN_UP;
                                if (late) {
                                    module.on(
                                            new Placement.Probed(
                                                    e.getKey(),
                                                    false,
                                                    now - e.getValue().sentAt(),
                                                    null));
                                }
                                return late;
                            });
        }
    }

    void reload(LineSettings settings) {
        line.reload(clock.now(), settings, this::carryOut);
    }

    // ---- owners and operators ----
    void ask(String owner, Intake.Wish wish) throws Intake.Unacceptable {
        intake.ask(
                clock.now(),
                owner,
                tenants.apply(owner),
                wish,
                recovery.doubt(owner, wish.id()),
                this::carryOut);
    }

    void stop(String owner, String task) throws Intake.Unacceptable {
        intake.stop(clock.now(), owner, task, this::carryOut);
    }

    List<Intake.News> undelivered(String owner) {
        // what waits for its promise is told when that is durable
        return intake.undelivered(owner).stream()
                .filter(n -> !untold.containsKey(owner + "/" + n.task()))
                .toList();
    }

    void delivered(String owner, long number) {
        intake.delivered(owner, number);
    }

    /** Starts or ends a drain; false where there is no such machine. */
    boolean drain(String machine, boolean on) {
        return membership.drain(clock.now(), machine, on, this::carryOut);
    }

    // ---- machines ----
    /**
     * A machine registers.
     *
     * @param lately its last final answers
     * @param remembers what of those it says of attempts that must not run twice
     * @param since see {@link Recovery.Testimony}
     */
    void registered(
            long link,
            Membership.Registration registration,
            List<Held> held,
            List<Said> lately,
            List<Recovery.Recalled> remembers,
            Map<Placement.Effect, Long> since) {
        adoptable.clear();
        held.forEach(h -> adoptable.put(h.attempt(), h));
        recent = lately;
        recalled = remembers;
        remembersSince = since;
        membership.registered(clock.now(), link, registration, this::carryOut);
        recent = List.of();
        recalled = List.of();
        adoptable.clear();
    }

    void linkClosed(long link) {
        String machine = membership.machineOf(link);
        if (machine != null) {
            long now = clock.now();
            membership.linkClosed(now, link, this::carryOut);
            attempts.linkBroken(now, machine, this::carryOut);
            probeOver(machine);
        }
    }

    void said(String machine, Said s) {
        if (s.report() != null) {
            fleet.reported(machine, s.report()[0], s.report()[1]);
        }
        saying = s.why();
        attempts.said(
                clock.now(),
                machine,
                s.attempt(),
                s.word(),
                reason(s.why()),
                s.ran(),
                s.report(),
                this::carryOut);
        saying = Fleet.Said.NONE;
    }

    private static Placement.Reason reason(Fleet.Said why) {
        return switch (why) {
            case NO_CORES -> Placement.Reason.NO_CORES;
            case NO_MEMORY -> Placement.Reason.NO_MEMORY;
            case OFFERS_WAIT -> Placement.Reason.OFFERS_WAIT;
            case KEY_HELD, DRAINING, NOT_HERE -> Placement.Reason.NOT_HERE;
            case NONE -> Placement.Reason.NONE;
        };
    }

    void uses(String machine, String attempt, double cores, double memory) {
        attempts.uses(machine, attempt, cores, memory, this::carryOut);
    }

    void notWritten(String attempt) {
        attempts.notWritten(clock.now(), attempt, this::carryOut);
    }

    void probeReply(String machine, long number, double[] report) {
        Probing asked = probing.get(machine);
        if (asked != null && asked.number() == number) {
            probing.remove(machine);
            fleet.reported(machine, report[0], report[1]);
            module.on(new Placement.Probed(machine, true, clock.now() - asked.sentAt(), report));
        }
    }

    private void probeOver(String machine) {
        Probing asked = probing.remove(machine);
        if (asked != null) {
            module.on(new Placement.Probed(machine, false, clock.now() - asked.sentAt(), null));
        }
    }

    // ---- the placement module's actions ----
    private void act(Placement.Action action) {
        if (action instanceof Placement.Offer offer) {
            offer(offer);
        } else if (action instanceof Placement.Held held) {
            reasons.held(held);
        } else if (action instanceof Placement.Refuse refuse) {
            refuse(refuse);
        } else if (action instanceof Placement.Fail fail) {
            intake.failed(
                    clock.now(), fail.id(), "an earlier attempt may have run", this::carryOut);
        } else if (action instanceof Placement.Probe probe) {
            probe(probe.machine());
        } else if (action instanceof Placement.Move move) {
            attempts.unwanted(move.id(), Attempts.Fate.MOVED, this::carryOut);
        } else if (action instanceof Placement.Cancel cancel) {
            attempts.unwanted(cancel.id(), Attempts.Fate.STOPPED, this::carryOut);
        } else if (action instanceof Placement.Log text) {
            LOG.atInfo().addKeyValue("instance", name).log(text.text());
        }
        // Subscribe and FetchList: membership tells every change without being asked
    }

    private void refuse(Placement.Refuse refuse) {
        long now = clock.now();
        Reasons.Reason reason = reasons.of(now, refuse.id());
        boolean holds =
                reason != null
                        && reason.kind() != Reasons.Kind.TURN
                        && reason.kind() != Reasons.Kind.ANSWER;
        String why = holds ? reason.sentence() : "";
        long after = Math.max(refuse.retryAfter(), line.overload() ? line.retryAfter(now) : 0);
        intake.refused(now, refuse.id(), after, why, this::carryOut);
    }

    private void offer(Placement.Offer offer) {
        Intake.Offered of = intake.offered(offer.id());
        if (of == null) {
            LOG.atError()
                    .addKeyValue("instance", name)
                    .addKeyValue("task", offer.id())
                    .log("the module offered a task that is not in hand; nothing was sent");
            return;
        }
        offerCount++;
        long now = clock.now();
        String machine = offer.machine();
        String attempt =
                attempts.offered(
                        now,
                        offer.id(),
                        of.number(),
                        machine,
                        membership.incarnation(machine),
                        of.effect(),
                        offer.timeout());
        line.offered(now, offer.id(), machine, of.number() > 0);
        reasons.offered(offer.id(), machine);
        LOG.atDebug()
                .addKeyValue("instance", name)
                .addKeyValue("task", of.wish().id())
                .addKeyValue("node", machine)
                .addKeyValue("attempt", attempt)
                .log("offered, attempt {} of this ask", of.number());
        if (of.effect() == Placement.Effect.SAFE) {
            send(machine, attempt, of);
            return;
        }
        unwritten.add(attempt);
        promise(
                new Promise.Offered(
                        now,
                        attempt,
                        of.owner(),
                        tenants.apply(of.owner()),
                        of.wish(),
                        of.effect(),
                        machine,
                        membership.incarnation(machine)),
                wrong -> durable(machine, attempt, of, wrong));
    }

    private void send(String machine, String attempt, Intake.Offered of) {
        if (!out.offer(machine, attempt, of)) {
            attempts.notWritten(clock.now(), attempt, this::carryOut);
        }
    }

    /** An offer's promise is as durable as configured: only now may its first octet leave. */
    private void durable(String machine, String attempt, Intake.Offered of, String wrong) {
        if (!unwritten.remove(attempt)) {
            return; // given up meanwhile
        }
        // guards against what changed while the disk was slow: a machine that drains now must get
        // nothing new
        if (wrong == null && attempts.isOpen(attempt) && membership.ready(machine)) {
            send(machine, attempt, of);
        } else {
            intake.unable(journal.trouble());
            attempts.notWritten(clock.now(), attempt, this::carryOut);
        }
    }

    /** Writes a promise; {@code then} runs on the loop, with null or what is wrong. */
    private void promise(Promise promise, Consumer<String> then) {
        if (journal != Journal.NONE) {
            recovery.note(promise); // else nobody would ever read it
        }
        journal.append(
                promise,
                wrong -> {
                    if (loop.inEventLoop()) {
                        then.accept(wrong);
                    } else {
                        loop.execute(() -> then.accept(wrong));
                    }
                });
    }

    /** The same, and what is told of the task from now on waits for it. */
    private void promiseBeforeTelling(String owner, String task, Promise promise) {
        String key = owner + "/" + task;
        untold.putIfAbsent(key, new ArrayList<>());
        promise(
                promise,
                wrong -> {
                    List<Intake.News> waited = untold.remove(key);
                    if (waited != null) {
                        waited.forEach(
                                out::deliver); // also where it could not be written: a result
                        // there must be
                    }
                });
    }

    private void probe(String machine) {
        long number = ++probeNumber;
        probing.put(machine, new Probing(number, clock.now()));
        if (!out.probe(machine, number)) {
            loop.execute(
                    () -> probeOver(machine)); // told later, not from within the module's own call
        }
    }

    private void moduleFailed(String request) {
        long now = clock.now();
        intake.failed(now, request, "internal error", this::carryOut);
        attempts.unwanted(request, Attempts.Fate.STOPPED, this::carryOut);
        module.on(new Placement.OwnerLeft(request));
    }

    // ---- actions of the other decision modules ----
    private void carryOut(Line.Action action) {
        if (action instanceof Line.Release release) {
            Placement.Ask a = asks.get(release.request());
            reasons.moved(release.request());
            if (a != null) {
                module.on(
                        new Placement.Asked(
                                new Placement.Ask(
                                        a.id(),
                                        a.taskClass(),
                                        a.tenant(),
                                        a.task(),
                                        release.patience(),
                                        a.runsFor(),
                                        a.service(),
                                        a.cores(),
                                        a.memory(),
                                        a.again())));
            }
        } else if (action instanceof Line.TakeBack back) {
            reasons.moved(back.request());
            module.on(new Placement.OwnerLeft(back.request()));
        } else if (action instanceof Line.Turn turn) {
            intake.turnedAway(
                    clock.now(), turn.request(), turn.why(), turn.retryAfter(), this::carryOut);
        }
    }

    private void carryOut(Attempts.Action action) {
        long now = clock.now();
        if (action instanceof Attempts.Tell tell) {
            tell(now, tell.event());
        } else if (action instanceof Attempts.NeverRan never) {
            Intake.Offered of = intake.of(never.request());
            if (of != null) {
                promise(
                        new Promise.NeverRan(now, of.owner(), of.wish().id(), never.attempt()),
                        wrong -> {});
            }
        } else if (action instanceof Attempts.Withdraw w) {
            if (unwritten.remove(w.attempt())) {
                // guards against an offer that leaves after its own withdrawal, and runs with
                // nobody to look after it
                attempts.notWritten(now, w.attempt(), this::carryOut);
            } else {
                out.withdraw(w.machine(), w.attempt());
            }
        } else if (action instanceof Attempts.IsPlaced placed) {
            intake.placed(now, placed.request(), placed.machine(), this::carryOut);
        } else if (action instanceof Attempts.Over over) {
            intake.over(now, over.request(), over.machine(), over.fate(), this::carryOut);
        } else if (action instanceof Attempts.Turned turned) {
            intake.turnedDown(turned.request(), turned.machine(), turned.reason());
            fleet.refused(turned.machine(), saying);
            reasons.turnedDown(turned.request(), turned.machine(), saying);
        } else if (action instanceof Attempts.Adopt adopt) {
            adopt(adopt);
        } else if (action instanceof Attempts.Guilty guilty) {
            out.closeLink(membership.link(guilty.machine()), guilty.why());
        }
    }

    /** To the module, after those that must know before it offers the task elsewhere. */
    private void tell(long now, Placement.Event event) {
        if (event instanceof Placement.Ended e) {
            if (e.outcome() == Placement.Outcome.TIMED_OUT
                    || e.outcome() == Placement.Outcome.UNREACHABLE
                    || e.outcome() == Placement.Outcome.LOST
                            && e.reason() == Placement.Reason.NONE) {
                fleet.silent(e.machine());
            }
            line.attemptOver(now, e.id());
            reasons.attemptOver(e.id(), e.machine(), e.outcome());
        } else if (event instanceof Placement.Placed e) {
            fleet.accepted(e.machine());
        }
        module.on(event);
    }

    private void adopt(Attempts.Adopt a) {
        Held held = adoptable.get(a.attempt());
        Intake.Wish wish = held.wish();
        String tenant = tenants.apply(held.owner());
        Placement.Ask ask =
                intake.adopt(clock.now(), held.owner(), tenant, wish, a.machine(), this::carryOut);
        if (ask == null) {
            carryOut(new Attempts.Withdraw(a.machine(), a.attempt()));
            return;
        }
        attempts.adopted(
                clock.now(),
                a.attempt(),
                ask.id(),
                a.machine(),
                membership.incarnation(a.machine()),
                effects.getOrDefault(ask.taskClass(), Placement.Effect.UNSAFE),
                held.runs());
        line.adopted(clock.now(), item(ask, held.owner(), 0, ""));
        module.on(new Placement.Running(ask, a.machine()));
        LOG.atInfo()
                .addKeyValue("instance", name)
                .addKeyValue("node", a.machine())
                .addKeyValue("task", wish.id())
                .log("taken over from a former life of this placer");
    }

    private Line.Item item(Placement.Ask ask, String owner, long deadline, String turnedBy) {
        return new Line.Item(
                ask.id(),
                owner,
                ask.tenant(),
                ask.taskClass(),
                worths.getOrDefault(ask.taskClass(), 0.0),
                ask.cores(),
                ask.memory(),
                deadline,
                ask.runsFor(),
                ask.again(),
                turnedBy);
    }

    private void carryOut(Intake.Action action) {
        long now = clock.now();
        if (action instanceof Intake.Waits w) {
            reasons.asked(
                    now,
                    w.owner(),
                    w.tenant(),
                    w.wish().id(),
                    w.wish().key(),
                    w.keyed(),
                    w.settling(),
                    w.doubted() ? recovery.suspect(w.owner(), w.wish().id()) : "");
        } else if (action instanceof Intake.Hand hand) {
            Line.Item item = item(hand.ask(), hand.owner(), hand.deadline(), hand.turnedBy());
            asks.put(hand.ask().id(), hand.ask());
            reasons.inLine(hand.wish().id(), item);
            line.arrived(now, item, this::carryOut);
        } else if (action instanceof Intake.Answered a) {
            if (a.request() != null) {
                asks.remove(a.request());
            }
            if (a.effect() != Placement.Effect.SAFE && a.result() != Intake.Result.REFUSED) {
                promiseBeforeTelling(
                        a.owner(),
                        a.wish().id(),
                        new Promise.Answered(
                                now,
                                a.owner(),
                                a.tenant(),
                                a.wish(),
                                a.effect(),
                                a.result(),
                                a.machine(),
                                a.reason()));
            }
            reasons.answered(now, a.owner(), a.wish().id(), state(a.result()), a.machine());
            if (a.request() == null) {
                return;
            }
            if (a.result() == Intake.Result.PLACED) {
                line.placed(now, a.request(), this::carryOut);
            } else {
                line.over(now, a.request(), this::carryOut);
            }
        } else if (action instanceof Intake.Finished f) {
            if (f.effect() != Placement.Effect.SAFE) {
                promiseBeforeTelling(
                        f.owner(),
                        f.task(),
                        new Promise.Finished(now, f.owner(), f.task(), f.fate()));
            }
            reasons.over(now, f.owner(), f.task());
            if (f.request() != null) {
                line.over(now, f.request(), this::carryOut);
            }
        } else if (action instanceof Intake.Deliver d) {
            if (d.news().result() != null && !d.news().repeat()) {
                resultCount++;
            }
            LOG.atDebug()
                    .addKeyValue("instance", name)
                    .addKeyValue("task", d.news().task())
                    .addKeyValue("node", d.news().machine())
                    .log("{}", d.news().result() == null ? d.news().fate() : d.news().result());
            List<Intake.News> waiting = untold.get(d.news().owner() + "/" + d.news().task());
            if (waiting != null) {
                waiting.add(d.news());
            } else {
                out.deliver(d.news());
            }
        } else if (action instanceof Intake.Abandon abandon) {
            asks.remove(abandon.request());
            attempts.unwanted(abandon.request(), abandon.fate(), this::carryOut);
            module.on(new Placement.OwnerLeft(abandon.request()));
            if (line.standing(now, abandon.request()).where() != Line.Where.PLACED) {
                line.over(now, abandon.request(), this::carryOut);
            }
        }
    }

    private void carryOut(Recovery.Action action) {
        long now = clock.now();
        if (action instanceof Recovery.Restored r) {
            intake.restore(
                    now,
                    r.owner(),
                    r.tenant(),
                    r.wish(),
                    r.result(),
                    r.machine(),
                    r.reason(),
                    r.fate());
        } else if (action instanceof Recovery.Ran r) {
            LOG.atInfo()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", r.machine())
                    .addKeyValue("task", r.wish().id())
                    .log("placed by a former life of this placer: {}", r.fate());
            intake.ran(
                    now,
                    r.owner(),
                    tenants.apply(r.owner()),
                    r.wish(),
                    r.machine(),
                    r.fate(),
                    r.told(),
                    this::carryOut);
        } else if (action instanceof Recovery.Failed f) {
            intake.mayHaveRun(
                    now, f.owner(), tenants.apply(f.owner()), f.wish(), f.reason(), this::carryOut);
        } else if (action instanceof Recovery.Proven p) {
            intake.proven(now, p.owner(), p.task(), this::carryOut);
        } else if (action instanceof Recovery.Unprovable u) {
            LOG.atWarn()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", u.machine())
                    .addKeyValue("task", u.task())
                    .log(
                            "offered by a former life of this placer; whether it ran cannot be"
                                    + " proven any more");
            intake.unprovable(now, u.owner(), u.task(), u.machine(), this::carryOut);
        }
    }

    private static Reasons.State state(Intake.Result result) {
        return switch (result) {
            case PLACED -> Reasons.State.PLACED;
            case REFUSED -> Reasons.State.REFUSED;
            case FAILED -> Reasons.State.FAILED;
        };
    }

    private void carryOut(Membership.Action action) {
        long now = clock.now();
        if (action instanceof Membership.Changed changed) {
            fleet.listed(changed.lines());
            module.on(new Placement.MachineList(0, Placement.ListKind.DELTA, changed.lines()));
        } else if (action instanceof Membership.CloseLink close) {
            out.closeLink(close.link(), close.why());
        } else if (action instanceof Membership.LifeOver life) {
            LOG.atWarn()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", life.machine())
                    .log("incarnation {} is over: {}", life.incarnation(), life.why());
            attempts.lifeOver(now, life.machine(), life.incarnation(), this::carryOut);
        } else if (action instanceof Membership.Forgotten gone) {
            fleet.forgotten(gone.machine());
        } else if (action instanceof Membership.Admitted admitted) {
            recent.forEach(each -> said(admitted.machine(), each));
            Set<String> running = new HashSet<>();
            adoptable.forEach(
                    (id, held) -> {
                        if (held.runs()) {
                            running.add(id);
                        }
                    });
            Set<String> held = new LinkedHashSet<>(adoptable.keySet());
            attempts.inventory(
                    now,
                    admitted.machine(),
                    admitted.incarnation(),
                    held,
                    running,
                    remembersSince,
                    this::carryOut);
            recovery.testifies(
                    now,
                    new Recovery.Testimony(
                            admitted.machine(),
                            admitted.incarnation(),
                            held,
                            recalled,
                            remembersSince),
                    attempts::ours,
                    this::carryOut);
            out.welcome(admitted.machine(), recovery.limits().remember());
        } else if (action instanceof Membership.TellDrain drain) {
            out.tellDrain(drain.machine(), drain.on());
        }
    }
}
