package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Policy;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.recovery.RetainedAttempt;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;
import thornferry.state.Journal;

/**
 * Many lives of a placer in virtual time: it and its nodes are killed at random, frames are late
 * and lost with their connections, owners ask again. No unsafe task may start twice, no result
 * contradict one told before, and in the end each ask must have its result. {@code -Dlives=N} plays
 * about so many lives; {@code -Dseed=S} begins with that world.
 */
class IncarnationTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int LIVES_OF_A_WORLD = 20;

    /** What is left out on purpose, to see that these worlds would find it. */
    private enum Planted {
        NOTHING,
        ACKNOWLEDGED_BEFORE_DURABLE,
        NODES_CLAIM_TO_REMEMBER_ALL,
        NO_MEMORY
    }

    private record Work(String attempt, String owner, TaskSpec wish, Idempotency effect) {}

    /**
     * One connection: frames in order each way; once broken, only the first few of those on their
     * way arrive.
     */
    private static final class Link {
        final long id;
        boolean open = true;
        long downLast;
        long upLast;
        long downEnd = Long.MAX_VALUE; // nothing arrives at the node after this time
        long upEnd = Long.MAX_VALUE;

        Link(long id) {
            this.id = id;
        }
    }

    private static final class Node {
        final String name;
        long incarnation = 1;
        boolean up = true;
        Link link;
        final Map<String, Work> held = new LinkedHashMap<>();
        final Map<String, Boolean> running = new HashMap<>();
        final Map<RetainedAttempt, Long> memory = new LinkedHashMap<>(); // ended when
        long forgot = MachineInventory.WHOLE_INCARNATION;

        Node(String name) {
            this.name = name;
        }
    }

    private record Event(long at, long order, Runnable what) {}

    private static final class Asked {
        final TaskSpec wish;
        final long until;
        int asks;
        int firstTold;
        int ends;
        String told = "";

        Asked(TaskSpec wish, long until) {
            this.wish = wish;
            this.until = until;
        }
    }

    private static final class World implements PlacerOutput {
        final SplittableRandom random;
        final Planted planted;
        final boolean journaled;
        final Site site;
        final PriorityQueue<Event> events =
                new PriorityQueue<>(
                        (a, b) ->
                                a.at() != b.at()
                                        ? Long.compare(a.at(), b.at())
                                        : Long.compare(a.order(), b.order()));
        final List<Node> nodes = new ArrayList<>();
        final Map<Long, Link> opened = new HashMap<>();
        final Map<String, Asked> asked = new TreeMap<>();
        final Map<String, String> starts = new HashMap<>(); // unsafe task -> attempt
        final List<String> breaches = new ArrayList<>();
        final List<JournalRecord> durable = new ArrayList<>();
        final List<JournalRecord> pending = new ArrayList<>();
        final List<Consumer<String>> unacknowledged = new ArrayList<>();
        EmbeddedChannel channel;
        PlacerCore core; // null while the placer is down
        int life;
        long now = 1_000 * SECOND;
        long order;
        long links;
        int tasks;
        boolean calm;

        World(long seed, boolean journaled, Planted planted) {
            random = new SplittableRandom(seed);
            this.planted = planted;
            this.journaled = journaled;
            site =
                    SiteFixtures.of(
                            seed,
                            16,
                            List.of(
                                    SiteFixtures.cls(
                                            "safe",
                                            Idempotency.IDEMPOTENT,
                                            Placement.TopologyScope.NONE),
                                    SiteFixtures.cls(
                                            "keyed",
                                            Idempotency.IDEMPOTENT_WITH_KEY,
                                            Placement.TopologyScope.NONE),
                                    SiteFixtures.cls(
                                            "unsafe",
                                            Idempotency.NON_IDEMPOTENT,
                                            Placement.TopologyScope.NONE)),
                            new RequestTracker.Limits(
                                    1_000,
                                    10_000,
                                    60 * SECOND,
                                    30 * SECOND,
                                    3 * SECOND,
                                    SECOND,
                                    8 * SECOND),
                            AdmissionSettings.defaults());
            for (int i = 0; i < 3; i++) {
                nodes.add(new Node("n" + i));
            }
        }

        void at(long delay, Runnable what) {
            events.add(new Event(now + delay, ++order, what));
        }

        long between(long least, long most) {
            return least + random.nextLong(most - least + 1);
        }

        void pass(long time) {
            for (long end = now + time; now < end; ) {
                long step = now + 20 * MS;
                while (!events.isEmpty() && events.peek().at() <= step) {
                    Event e = events.poll();
                    advance(e.at());
                    e.what().run();
                    settle();
                }
                advance(step);
                if (core != null) {
                    core.tick();
                }
                settle();
            }
        }

        void advance(long to) {
            if (to > now) {
                if (channel != null) {
                    channel.advanceTimeBy(to - now, TimeUnit.MICROSECONDS);
                }
                now = to;
                settle();
            }
        }

        void settle() {
            if (channel != null) {
                channel.runPendingTasks();
            }
        }

        // ---- the placer's lives ----
        void start() {
            life++;
            channel = new EmbeddedChannel();
            channel.freezeTime();
            List<JournalRecord> left = List.copyOf(durable);
            core =
                    new PlacerCore(
                            new PlacerInstance(site, 0, channel.eventLoop(), () -> now),
                            Policy::new,
                            owner -> "",
                            journaled
                                    ? new RecoveredState(new Disk(life), left, true)
                                    : RecoveredState.NOTHING,
                            this);
            durable.clear();
            durable.addAll(core.recordsToKeep());
            nodes.forEach(n -> at(between(0, 1_000 * MS), () -> dial(n)));
            asked.forEach((id, a) -> at(between(0, 500 * MS), () -> ask(a)));
        }

        void kill() {
            core = null;
            channel = null;
            // what was handed to the disk and not acknowledged may have got there or not
            durable.addAll(pending.subList(0, random.nextInt(pending.size() + 1)));
            pending.clear();
            unacknowledged.clear();
            nodes.forEach(
                    n -> {
                        if (n.link != null) {
                            breakOff(n, n.link, false);
                        }
                    });
        }

        /** A disk that takes its time, and forces together what came meanwhile. */
        private final class Disk implements Journal {
            final int of;

            Disk(int life) {
                of = life;
            }

            @Override
            public void append(JournalRecord promise, Consumer<String> done) {
                pending.add(promise);
                unacknowledged.add(done);
                if (planted == Planted.ACKNOWLEDGED_BEFORE_DURABLE) {
                    done.accept(null);
                }
                if (pending.size() == 1) {
                    at(
                            between(0, 30 * MS),
                            () -> {
                                if (life == of && core != null) {
                                    durable.addAll(pending);
                                    List<Consumer<String>> told = new ArrayList<>(unacknowledged);
                                    pending.clear();
                                    unacknowledged.clear();
                                    if (planted != Planted.ACKNOWLEDGED_BEFORE_DURABLE) {
                                        told.forEach(d -> d.accept(null));
                                    }
                                }
                            });
                }
            }

            @Override
            public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
                if (random.nextInt(200) == 0 && pending.isEmpty()) {
                    durable.clear();
                    snapshot.get().forEach(durable::add);
                }
            }

            @Override
            public String writeFailure() {
                return "";
            }

            @Override
            public void close() {
                // never called: a kill asks nobody
            }
        }

        // ---- owners ----
        void newTask() {
            String id = "t" + ++tasks;
            String c =
                    List.of("safe", "keyed", "unsafe", "unsafe", "unsafe").get(random.nextInt(5));
            Asked a =
                    new Asked(
                            new TaskSpec(id, c, c, "k" + id, 1 + random.nextInt(4), 1, null, 0),
                            now + 25 * SECOND);
            asked.put(id, a);
            ask(a);
        }

        void ask(Asked a) {
            if (core == null
                    || now >= a.until
                    || !a.told.isEmpty() && !a.told.equals("REJECTED") && random.nextInt(4) > 0) {
                return;
            }
            TaskSpec w = a.wish;
            a.asks++;
            try {
                core.submit(
                        "o",
                        new TaskSpec(
                                w.id(),
                                w.taskClass(),
                                w.service(),
                                w.idempotencyKey(),
                                w.cores(),
                                w.memory(),
                                a.until - now,
                                0));
            } catch (InvalidRequestException e) {
                breaches.add(w.id() + " was not taken: " + e.getMessage());
            }
        }

        @Override
        public void notifyResult(ResultNotification news) {
            int of = life;
            at(
                    between(0, 20 * MS),
                    () -> {
                        if (life == of && core != null) {
                            told(news);
                        }
                    });
        }

        void told(ResultNotification news) {
            core.delivered("o", news.sequence());
            Asked a = asked.get(news.task());
            if (news.result() == null) {
                if (journaled
                        && a.wish.taskClass().equals("unsafe")
                        && !news.repeated()
                        && ++a.ends > 1) {
                    breaches.add(news.task() + " is told a second time to be over");
                }
                return;
            }
            a.firstTold += news.repeated() ? 0 : 1;
            if (a.firstTold > a.asks) {
                breaches.add(
                        news.task() + " has " + a.firstTold + " results for " + a.asks + " asks");
            }
            boolean unsafe = a.wish.taskClass().equals("unsafe");
            boolean lasting = journaled && (a.told.equals("PLACED") || a.told.equals("FAILED"));
            if (unsafe && lasting && !a.told.equals(news.result().name())) {
                breaches.add(
                        news.task()
                                + " is "
                                + news.result()
                                + " after it was "
                                + a.told
                                + ": "
                                + news.reason());
            }
            if (unsafe
                    && news.result() == RequestResult.REJECTED
                    && starts.containsKey(news.task())) {
                breaches.add(news.task() + " is refused and ran as " + starts.get(news.task()));
            }
            a.told = news.result().name();
            if (news.result() == RequestResult.REJECTED) {
                at(news.retryAfterMicros(), () -> ask(a));
            }
        }

        // ---- connections ----
        void dial(Node n) {
            if (core == null || !n.up || n.link != null) {
                return;
            }
            Link link = new Link(++links);
            n.link = link;
            List<HeldAttempt> held = new ArrayList<>();
            n.held.values()
                    .forEach(
                            w ->
                                    held.add(
                                            new HeldAttempt(
                                                    w.attempt(),
                                                    w.owner(),
                                                    w.wish(),
                                                    n.running.containsKey(w.attempt()))));
            boolean claims = planted == Planted.NODES_CLAIM_TO_REMEMBER_ALL;
            Map<Idempotency, Long> since =
                    Map.of(
                            Idempotency.NON_IDEMPOTENT,
                            claims ? MachineInventory.WHOLE_INCARNATION : n.forgot,
                            Idempotency.IDEMPOTENT_WITH_KEY,
                            claims ? MachineInventory.WHOLE_INCARNATION : n.forgot);
            List<RetainedAttempt> remembered =
                    planted == Planted.NO_MEMORY ? List.of() : List.copyOf(n.memory.keySet());
            Map<Idempotency, Long> told = planted == Planted.NO_MEMORY ? Map.of() : since;
            long incarnation = n.incarnation;
            List<AttemptReport> lately =
                    remembered.stream()
                            .map(
                                    r ->
                                            new AttemptReport(
                                                    r.attempt(),
                                                    r.status(),
                                                    RejectionReason.NONE,
                                                    r.ran(),
                                                    null))
                            .toList();
            opened.put(link.id, link);
            up(
                    n,
                    link,
                    () ->
                            core.registered(
                                    new NodeRegistration(
                                            link.id,
                                            new Membership.Registration(
                                                    n.name,
                                                    incarnation,
                                                    "std",
                                                    "a",
                                                    1,
                                                    16,
                                                    16,
                                                    3_600 * SECOND,
                                                    16,
                                                    16),
                                            held,
                                            lately,
                                            remembered,
                                            told)));
        }

        void up(Node n, Link link, Runnable what) {
            link.upLast = Math.max(link.upLast, now + between(0, 20 * MS));
            int of = life;
            events.add(
                    new Event(
                            link.upLast,
                            ++order,
                            () -> {
                                if (life == of && core != null && now < link.upEnd) {
                                    what.run();
                                }
                            }));
        }

        void down(Node n, Link link, Runnable what) {
            link.downLast = Math.max(link.downLast, now + between(0, 20 * MS));
            long incarnation = n.incarnation;
            events.add(
                    new Event(
                            link.downLast,
                            ++order,
                            () -> {
                                if (n.link == link
                                        && n.incarnation == incarnation
                                        && n.up
                                        && now < link.downEnd) {
                                    what.run();
                                }
                            }));
        }

        /**
         * Ends a connection: what is on its way arrives up to some moment, and each side sees the
         * end by itself.
         */
        void breakOff(Node n, Link link, boolean placerSees) {
            link.open = false;
            link.downEnd = now + between(0, 30 * MS);
            link.upEnd = now + between(0, 30 * MS);
            int of = life;
            if (placerSees) {
                events.add(
                        new Event(
                                link.upEnd + between(0, 2 * SECOND),
                                ++order,
                                () -> {
                                    if (life == of && core != null) {
                                        core.connectionClosed(link.id);
                                    }
                                }));
            }
            events.add(
                    new Event(
                            link.downEnd,
                            ++order,
                            () -> {
                                if (n.link == link) {
                                    n.link = null; // from now on nothing of it can reach the node
                                    at(between(0, 1_000 * MS), () -> dial(n));
                                }
                            }));
        }

        // ---- nodes ----
        Node node(String name) {
            return nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow();
        }

        void say(Node n, Work w, AttemptStatus word, boolean ran) {
            boolean lost =
                    (word == AttemptStatus.ACCEPTED || word == AttemptStatus.RUNNING)
                            && random.nextInt(20) == 0;
            if (n.link != null && n.link.open && !lost) {
                Link link = n.link;
                up(
                        n,
                        link,
                        () -> {
                            if (n.name.equals(core.membership().machineOf(link.id))) {
                                core.attemptReported(
                                        n.name,
                                        new AttemptReport(
                                                w.attempt(),
                                                word,
                                                RejectionReason.NONE,
                                                ran,
                                                null));
                            }
                        });
            }
        }

        void over(Node n, Work w, AttemptStatus word, boolean ran) {
            n.held.remove(w.attempt());
            n.running.remove(w.attempt());
            if (word != AttemptStatus.REJECTED && w.effect() != Idempotency.IDEMPOTENT) {
                n.memory.put(
                        new RetainedAttempt(
                                w.attempt(), w.owner(), w.wish(), w.effect(), word, ran, now),
                        now);
                if (journaled
                        && random.nextInt(30)
                                == 0) { // it must forget its oldest; without a journal none may
                    RetainedAttempt oldest = n.memory.keySet().iterator().next();
                    n.forgot = n.memory.remove(oldest);
                }
            }
            say(n, w, word, ran);
        }

        void mine(Node n, Work w, long delay, Runnable what) {
            long incarnation = n.incarnation;
            at(
                    delay,
                    () -> {
                        if (n.incarnation == incarnation && n.up && n.held.get(w.attempt()) == w) {
                            what.run();
                        }
                    });
        }

        void taken(Node n, Work w) {
            if (n.held.putIfAbsent(w.attempt(), w) != null) {
                return;
            }
            mine(
                    n,
                    w,
                    between(0, 30 * MS),
                    () -> {
                        if (random.nextInt(10) == 0) {
                            over(n, w, AttemptStatus.REJECTED, false);
                            return;
                        }
                        say(n, w, AttemptStatus.ACCEPTED, false);
                        mine(
                                n,
                                w,
                                between(5 * MS, 60 * MS),
                                () -> {
                                    n.running.put(w.attempt(), true);
                                    if (w.effect() == Idempotency.NON_IDEMPOTENT) {
                                        String before = starts.put(w.wish().id(), w.attempt());
                                        if (before != null) {
                                            breaches.add(
                                                    w.wish().id()
                                                            + " started twice: as "
                                                            + before
                                                            + " and as "
                                                            + w.attempt());
                                        }
                                    }
                                    say(n, w, AttemptStatus.RUNNING, true);
                                    mine(
                                            n,
                                            w,
                                            between(30 * MS, 1_500 * MS),
                                            () ->
                                                    over(
                                                            n,
                                                            w,
                                                            random.nextInt(8) == 0
                                                                    ? AttemptStatus.EVICTED
                                                                    : AttemptStatus.COMPLETED,
                                                            true));
                                });
                    });
        }

        void killNode(Node n) {
            if (!n.up) {
                return;
            }
            n.up = false;
            n.incarnation++;
            n.held.clear();
            n.running.clear();
            n.memory.clear();
            n.forgot = MachineInventory.WHOLE_INCARNATION;
            if (n.link != null) {
                Link link = n.link;
                breakOff(n, link, true);
                n.link = null;
            }
            at(
                    between(50 * MS, calm ? 100 * MS : 3_000 * MS),
                    () -> {
                        n.up = true;
                        dial(n);
                    });
        }

        @Override
        public boolean offer(String machine, String attempt, RequestTracker.OfferDetails of) {
            Node n = node(machine);
            Link link =
                    opened.get(core.membership().connectionOf(machine)); // as the placer believes
            if (link == null || !link.open) {
                return link != null; // written into a connection that is broken without our knowing
            }
            down(
                    n,
                    link,
                    () -> taken(n, new Work(attempt, of.owner(), of.spec(), of.idempotency())));
            return true;
        }

        @Override
        public void cancelAttempt(String machine, String attempt) {
            Node n = node(machine);
            Link link =
                    opened.get(core.membership().connectionOf(machine)); // as the placer believes
            if (link != null && link.open) {
                down(
                        n,
                        link,
                        () -> {
                            Work w = n.held.get(attempt);
                            if (w != null) {
                                over(n, w, AttemptStatus.CANCELLED, n.running.containsKey(attempt));
                            } else {
                                say(
                                        n,
                                        new Work(attempt, "", null, Idempotency.IDEMPOTENT),
                                        AttemptStatus.CANCELLED,
                                        true);
                            }
                        });
            }
        }

        @Override
        public boolean checkHealth(String machine, long number) {
            Node n = node(machine);
            Link link = opened.get(core.membership().connectionOf(machine));
            if (link != null && link.open) {
                down(
                        n,
                        link,
                        () ->
                                up(
                                        n,
                                        link,
                                        () ->
                                                core.healthCheckAnswered(
                                                        machine,
                                                        number,
                                                        new LoadReport(
                                                                16, 16, LoadReport.UNKNOWN, 0))));
            }
            return link != null;
        }

        @Override
        public void notifyDrain(String machine, boolean on) {
            // none drains here
        }

        @Override
        public void welcome(String machine, long remember) {
            // these nodes forget when the world says so
        }

        @Override
        public void closeConnection(long link, String why) {
            if (!why.startsWith("registered again") && !why.startsWith("incarnation ")) {
                breaches.add("a node was cut off: " + why);
            }
            core.connectionClosed(link);
        }

        @Override
        public void reasonChanged(PendingReasons.ReasonChanged changed) {
            // nobody watches
        }

        // ---- the whole ----
        /** Plays all lives; what went wrong. */
        List<String> play() {
            for (int i = 0; i < LIVES_OF_A_WORLD && breaches.isEmpty(); i++) {
                start();
                for (long end = now + between(50 * MS, 4_000 * MS); now < end; ) {
                    pass(between(20 * MS, 200 * MS));
                    for (int t = random.nextInt(4); t > 0; t--) {
                        newTask();
                    }
                    Node n = nodes.get(random.nextInt(nodes.size()));
                    if (random.nextInt(12) == 0 && n.link != null && n.link.open) {
                        breakOff(n, n.link, true);
                    }
                    if (journaled && random.nextInt(25) == 0) {
                        killNode(n);
                    }
                }
                kill();
                if (journaled && random.nextInt(3) == 0) {
                    killNode(nodes.get(random.nextInt(nodes.size())));
                }
                pass(
                        random.nextBoolean()
                                ? between(10 * MS, 300 * MS)
                                : between(300 * MS, 4_000 * MS));
            }
            calm = true;
            start();
            pass(40 * SECOND);
            asked.forEach(
                    (id, a) -> {
                        boolean late =
                                a.until
                                        > now
                                                - 40 * SECOND
                                                + 2 * SECOND; // the last life had time to answer it
                        if (late && a.told.isEmpty()) {
                            breaches.add(id + " never had a result");
                        }
                    });
            return breaches;
        }
    }

    /** Plays worlds until one breaks something, or all are played. */
    private static String search(int lives, boolean journaled, Planted planted, long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + lives / LIVES_OF_A_WORLD; seed++) {
            List<String> breaches = new World(seed, journaled, planted).play();
            if (!breaches.isEmpty()) {
                return "world " + seed + ": " + breaches;
            }
        }
        return "";
    }

    private static int lives() {
        return Integer.getInteger("lives", 400);
    }

    private static long seed() {
        return Long.getLong("seed", 1);
    }

    @Test
    void withAJournalNothingUnsafeStartsTwiceWhoeverIsKilled() {
        assertThat(search(lives(), true, Planted.NOTHING, seed())).isEmpty();
    }

    @Test
    void withoutOneNothingUnsafeStartsTwiceAsLongAsNodesLive() {
        assertThat(search(lives(), false, Planted.NOTHING, seed())).isEmpty();
    }

    @Test
    void aJournalThatAcknowledgesTooEarlyIsFound() {
        assertThat(search(20_000, true, Planted.ACKNOWLEDGED_BEFORE_DURABLE, 1))
                .contains("started twice");
    }

    @Test
    void nodesThatClaimToRememberWhatTheyForgotAreFound() {
        assertThat(search(20_000, true, Planted.NODES_CLAIM_TO_REMEMBER_ALL, 1))
                .contains("started twice");
    }

    @Test
    void nodesThatRememberNothingAreFoundWhereThereIsNoJournal() {
        assertThat(search(20_000, false, Planted.NO_MEMORY, 1)).contains("started twice");
    }
}
