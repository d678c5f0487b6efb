package thornferry.placer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import thornferry.decisions.admission.AdmissionSettings;
import thornferry.decisions.admission.Quota;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.diagnosis.PendingReasons.Kind;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Policy;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;

/**
 * All decision modules together in virtual time, with nodes and owners that do things at random,
 * and an oracle that knows the nodes' truth: every claim that a shown reason makes is checked
 * against it, and nothing that waits shows none.
 */
class PendingReasonsTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final double CORES = 16;
    private static final int OWN_LIMIT = 4;

    private static final class Node {
        final String name;
        long link = -1;
        long incarnation = 1;
        boolean draining;
        double free = CORES;
        boolean heldAnswers; // offers are left open
        final Map<String, Out> open = new LinkedHashMap<>(); // attempts without an answer
        final Map<String, Out> runs = new LinkedHashMap<>();
        boolean known;
        boolean everHeard;
        long refusedAt = Long.MIN_VALUE / 2;
        long toldAt = Long.MIN_VALUE / 2;
        long troubleAt = Long.MIN_VALUE / 2;
        double told; // what it said last was free, where the module hears it: with an end, a
        // refusal or a probe
        final ArrayDeque<double[]> bound = new ArrayDeque<>(); // time, what was offered then
        final Map<String, Long> services = new HashMap<>(); // last offered or running

        boolean ready() {
            return link >= 0 && !draining;
        }

        /**
         * Half of what tasks take of the cores, so that memory, whose readings are smoothed, never
         * is what lacks.
         */
        double memoryFree() {
            return CORES - (CORES - free) / 2;
        }

        /**
         * What a placer believes at least: the last word about room, less all offered since 1.1 s
         * before that word.
         */
        double leastRoom() {
            return told - bound.stream().mapToDouble(b -> b[1]).sum();
        }

        void tell(long now, double room) {
            told = room;
            toldAt = now;
            bound.removeIf(b -> b[0] < now - 1.1 * SECOND);
        }

        boolean has(String service, long now) {
            return runs.values().stream().anyMatch(o -> o.wish().service().equals(service))
                    || services.getOrDefault(service, 0L) > now - 5 * SECOND;
        }

        boolean offered(String owner, TaskSpec wish) {
            return open.values().stream()
                    .anyMatch(o -> o.owner().equals(owner) && o.wish().id().equals(wish.id()));
        }

        Node(String name) {
            this.name = name;
        }
    }

    private record Out(String attempt, String owner, TaskSpec wish) {}

    /** One world with its own randomness. */
    private static final class World implements PlacerOutput {
        final SplittableRandom random;
        final EmbeddedChannel channel = new EmbeddedChannel();
        final PlacerCore core;
        final List<Node> nodes = new ArrayList<>();
        final Map<String, TaskSpec> wishes = new LinkedHashMap<>(); // owner/task
        final Map<String, String> results = new HashMap<>(); // owner/task, of the latest ask
        final Set<String> keyHeld = new HashSet<>();
        final Set<String> refused = new HashSet<>();
        final List<Runnable> later = new ArrayList<>();
        long now = 1_000 * SECOND;
        long links;
        int number;

        World(long seed) {
            random = new SplittableRandom(seed);
            channel.freezeTime();
            AdmissionSettings line =
                    AdmissionSettings.defaults()
                            .withQuotas(
                                    new Quota(
                                            100,
                                            OWN_LIMIT,
                                            Double.POSITIVE_INFINITY,
                                            Double.POSITIVE_INFINITY,
                                            1e9,
                                            1e9),
                                    null,
                                    null,
                                    Map.of("t0", 0.5, "t1", 0.5));
            Site site =
                    SiteFixtures.of(
                            seed,
                            CORES,
                            List.of(
                                    SiteFixtures.cls(
                                            "safe",
                                            Placement.Idempotency.IDEMPOTENT,
                                            Placement.TopologyScope.NONE),
                                    SiteFixtures.cls(
                                            "keyed",
                                            Placement.Idempotency.IDEMPOTENT_WITH_KEY,
                                            Placement.TopologyScope.NONE),
                                    SiteFixtures.cls(
                                            "unsafe",
                                            Placement.Idempotency.NON_IDEMPOTENT,
                                            Placement.TopologyScope.NONE),
                                    SiteFixtures.cls(
                                            "spread",
                                            Placement.Idempotency.IDEMPOTENT,
                                            Placement.TopologyScope.MACHINE)),
                            new RequestTracker.Limits(
                                    1_000, 10_000, 30 * SECOND, 60 * SECOND, 0, SECOND, 8 * SECOND),
                            line);
            core =
                    new PlacerCore(
                            new PlacerInstance(site, 0, channel.eventLoop(), () -> now),
                            Policy::new,
                            owner -> "t" + owner.charAt(1),
                            RecoveredState.NOTHING,
                            this);
            for (int i = 0; i < 3; i++) {
                nodes.add(new Node("n" + i));
            }
        }

        void run() {
            List<Runnable> what = new ArrayList<>(later);
            later.clear();
            what.forEach(Runnable::run);
            channel.runPendingTasks();
        }

        void pass(long time) {
            for (long end = now + time; now < end; ) {
                now += 20 * MS;
                channel.advanceTimeBy(20, TimeUnit.MILLISECONDS);
                run();
                core.tick();
                run();
            }
        }

        Node node(String name) {
            return nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElseThrow();
        }

        LoadReport load(Node n) {
            return new LoadReport(n.free, n.memoryFree(), LoadReport.UNKNOWN, 0);
        }

        void join(Node n) {
            if (n.link >= 0) {
                return;
            }
            n.link = ++links;
            n.known = true;
            List<HeldAttempt> held = new ArrayList<>();
            n.runs.values()
                    .forEach(
                            o -> held.add(new HeldAttempt(o.attempt(), o.owner(), o.wish(), true)));
            n.told = Math.min(n.free, n.everHeard ? n.told : n.free);
            n.everHeard = true;
            n.open.clear(); // what was on its way never arrived
            core.registered(
                    new NodeRegistration(
                            n.link,
                            new Membership.Registration(
                                    n.name,
                                    n.incarnation,
                                    "std",
                                    "a",
                                    1,
                                    CORES,
                                    CORES,
                                    3_600 * SECOND,
                                    n.free,
                                    n.memoryFree()),
                            held,
                            List.of(),
                            List.of(),
                            Map.of()));
        }

        void leave(Node n) {
            if (n.link >= 0) {
                long link = n.link;
                n.link = -1;
                n.troubleAt = now;
                core.connectionClosed(link);
            }
        }

        void say(Node n, Out o, AttemptStatus word, RejectionReason why) {
            if (n.link >= 0) {
                int before = core.attemptsAt(n.name);
                double free = n.free;
                core.attemptReported(
                        n.name,
                        new AttemptReport(
                                o.attempt(), word, why, word != AttemptStatus.REJECTED, load(n)));
                if (core.attemptsAt(n.name)
                        < before) { // else it spoke of an attempt given up, and was not listened to
                    n.tell(now, free);
                }
            }
        }

        void answer(Node n, Out o) {
            if (n.link < 0 || n.open.remove(o.attempt()) == null) {
                return;
            }
            if (n.draining) {
                n.refusedAt = now;
                refused.add(o.owner() + "/" + o.wish().id());
                say(n, o, AttemptStatus.REJECTED, RejectionReason.DRAINING);
            } else if (o.wish().cores() > n.free) {
                n.refusedAt = now;
                refused.add(o.owner() + "/" + o.wish().id());
                say(n, o, AttemptStatus.REJECTED, RejectionReason.INSUFFICIENT_CORES);
            } else if (random.nextInt(20) == 0 && o.wish().taskClass().equals("keyed")) {
                keyHeld.add(o.owner() + "/" + o.wish().id());
                say(n, o, AttemptStatus.REJECTED, RejectionReason.KEY_HELD);
            } else {
                n.free -= o.wish().cores();
                n.runs.put(o.attempt(), o);
                say(n, o, AttemptStatus.RUNNING, RejectionReason.NONE);
            }
        }

        void end(Node n) {
            if (!n.runs.isEmpty() && n.link >= 0) {
                Out o = List.copyOf(n.runs.values()).get(random.nextInt(n.runs.size()));
                n.runs.remove(o.attempt());
                n.services.put(o.wish().service(), now);
                n.free += o.wish().cores();
                say(n, o, AttemptStatus.COMPLETED, RejectionReason.NONE);
            }
        }

        void ask() throws InvalidRequestException {
            String owner = "o" + random.nextInt(2) + random.nextInt(2);
            String id = "t" + ++number;
            String c = List.of("safe", "keyed", "unsafe", "spread").get(random.nextInt(4));
            double cores = random.nextInt(12) == 0 ? 40 : 1 + random.nextInt(8);
            TaskSpec wish =
                    new TaskSpec(
                            id,
                            c,
                            c + random.nextInt(2),
                            "k" + id,
                            cores,
                            cores / 2,
                            (1 + random.nextInt(10)) * SECOND,
                            0);
            wishes.put(owner + "/" + id, wish);
            core.submit(owner, wish);
        }

        void something() throws InvalidRequestException {
            Node n = nodes.get(random.nextInt(nodes.size()));
            switch (random.nextInt(14)) {
                case 0, 1, 2, 3, 4 -> ask();
                case 5, 6 -> end(n);
                case 7 -> join(n);
                case 8 -> {
                    if (random.nextInt(3) == 0) {
                        leave(n);
                    }
                }
                case 9 -> {
                    n.draining = n.known && random.nextBoolean();
                    core.drain(n.name, n.draining);
                }
                case 10 -> n.heldAnswers = random.nextInt(3) == 0;
                case 11 -> List.copyOf(n.open.values()).forEach(o -> answer(n, o));
                case 12 -> {
                    if (random.nextInt(10) == 0 && n.link < 0) {
                        n.incarnation++;
                        n.runs.clear();
                        n.free = CORES;
                    }
                }
                default -> join(n);
            }
            run();
        }

        // ---- what comes out ----
        @Override
        public boolean offer(String machine, String attempt, RequestTracker.OfferDetails of) {
            Node n = node(machine);
            Out o = new Out(attempt, of.owner(), of.spec());
            n.open.put(attempt, o);
            n.bound.add(new double[] {now, of.spec().cores()});
            n.services.put(of.spec().service(), now);
            if (!n.heldAnswers) {
                later.add(() -> answer(n, o));
            }
            return n.link >= 0;
        }

        @Override
        public void cancelAttempt(String machine, String attempt) {
            Node n = node(machine);
            later.add(
                    () -> {
                        Out open = n.open.remove(attempt);
                        n.troubleAt = now;
                        Out ran = n.runs.remove(attempt);
                        if (ran != null) {
                            n.free += ran.wish().cores();
                        }
                        if (open != null || ran != null) {
                            say(
                                    n,
                                    open != null ? open : ran,
                                    AttemptStatus.CANCELLED,
                                    RejectionReason.NONE);
                        }
                    });
        }

        @Override
        public boolean checkHealth(String machine, long probe) {
            Node n = node(machine);
            later.add(
                    () -> {
                        if (n.link >= 0) {
                            n.tell(now, n.free);
                            core.healthCheckAnswered(machine, probe, load(n));
                        }
                    });
            return n.link >= 0;
        }

        @Override
        public void notifyDrain(String machine, boolean on) {
            // the world knows, for it began the drain
        }

        @Override
        public void welcome(String machine, long remember) {
            // its nodes remember nothing
        }

        @Override
        public void notifyResult(ResultNotification news) {
            if (news.result() != null) {
                results.put(news.owner() + "/" + news.task(), news.result().name());
            }
        }

        @Override
        public void closeConnection(long link, String why) {
            throw new AssertionError("a node was cut off: " + why);
        }

        @Override
        public void reasonChanged(PendingReasons.ReasonChanged changed) {
            // read on demand here
        }

        // ---- the oracle ----
        void check(Map<Kind, Integer> seen) {
            wishes.forEach(
                    (key, wish) -> {
                        String owner = key.substring(0, 3);
                        PendingReasons.Explanation why =
                                core.reasons().explain(now, owner, wish.id());
                        String result = results.get(key);
                        String told =
                                nodes.stream()
                                                .map(
                                                        n ->
                                                                n.name
                                                                        + " link "
                                                                        + n.link
                                                                        + " drains "
                                                                        + n.draining
                                                                        + " refused "
                                                                        + n.refusedAt
                                                                        + " trouble "
                                                                        + n.troubleAt)
                                                .toList()
                                        + key
                                        + " "
                                        + wish
                                        + " "
                                        + why
                                        + " at "
                                        + now;
                        if (result != null) {
                            assertThat(why.reason())
                                    .as("answered, but shows a reason: " + told)
                                    .isNull();
                            return;
                        }
                        assertThat(why.state()).as(told).isEqualTo(PendingReasons.State.WAITING);
                        assertThat(why.reason()).as("waits and shows none: " + told).isNotNull();
                        seen.merge(why.reason().kind(), 1, Integer::sum);
                        assertThat(holds(owner, wish, why.reason().kind()))
                                .as("not true: " + told)
                                .isTrue();
                    });
        }

        private boolean holds(String owner, TaskSpec wish, Kind kind) {
            boolean fits = wish.cores() <= CORES;
            return switch (kind) {
                case NO_MACHINES -> nodes.stream().noneMatch(n -> n.known);
                case UNSATISFIABLE -> !fits && nodes.stream().anyMatch(n -> n.known);
                case NO_CAPACITY ->
                        fits
                                && nodes.stream()
                                        .anyMatch(n -> n.ready() && n.leastRoom() < wish.cores());
                case REJECTED ->
                        fits
                                        && nodes.stream()
                                                .anyMatch(
                                                        n ->
                                                                n.ready()
                                                                        && n.refusedAt
                                                                                >= n.toldAt
                                                                                        - 1.1
                                                                                                * SECOND)
                                || refused.contains(owner + "/" + wish.id());
                case MACHINES_EJECTED ->
                        fits
                                && nodes.stream()
                                        .anyMatch(n -> n.known && n.troubleAt > now - 30 * SECOND);
                case KEY_HELD ->
                        wish.taskClass().equals("keyed")
                                && keyHeld.contains(owner + "/" + wish.id());
                case DRAINING -> fits && nodes.stream().anyMatch(n -> n.known && n.draining);
                case SPREAD_LIMIT ->
                        wish.taskClass().equals("spread")
                                && nodes.stream().anyMatch(n -> n.has(wish.service(), now));
                case WARMING_UP ->
                        nodes.stream().anyMatch(n -> n.ready() && n.troubleAt > now - 10 * SECOND);
                case OWNER_QUOTA -> core.admissionQueue().ownerUsage(owner).tasks() >= OWN_LIMIT;
                case INDETERMINATE ->
                        !wish.taskClass().equals("safe")
                                && nodes.stream()
                                        .anyMatch(n -> n.link < 0 && n.offered(owner, wish));
                case AWAITING_RESPONSE ->
                        nodes.stream().anyMatch(n -> n.link >= 0 && n.offered(owner, wish));
                default -> false; // the window is never full here, so nothing waits for its turn or
                    // its tenant's
            };
        }
    }

    @Test
    void whateverHappensEachShownReasonIsTrueAndNothingWaitsWithoutOne() throws Exception {
        Map<Kind, Integer> seen = new EnumMap<>(Kind.class);
        for (int seed = 0; seed < 40; seed++) {
            World w = new World(seed);
            w.run();
            for (int i = 0; i < 250; i++) {
                w.something();
                w.pass(20 * MS * (1 + w.random.nextInt(12)));
                w.check(seen);
            }
            w.pass(12 * SECOND);
            assertThat(w.results).as("each ask has its result").hasSameSizeAs(w.wishes);
            assertThat(w.core.reasons().waiting()).isZero();
        }
        assertThat(seen.keySet())
                .contains(
                        Kind.NO_MACHINES,
                        Kind.UNSATISFIABLE,
                        Kind.NO_CAPACITY,
                        Kind.MACHINES_EJECTED,
                        Kind.DRAINING,
                        Kind.SPREAD_LIMIT,
                        Kind.OWNER_QUOTA,
                        Kind.INDETERMINATE,
                        Kind.AWAITING_RESPONSE,
                        Kind.KEY_HELD);
    }
}
