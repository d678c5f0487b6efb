package thornferry.decisions.placement;

import java.util.*;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * All decisions of one placer. The interface (settings, events, actions) is in Placement.java.
 *
 * <p>Ordinary path of an ask: eligible machines, a sample of about the root of their number, the
 * lowest weighted score of filtered figures, one offer. Everything else here guards that path where
 * it breaks.
 */
public final class Policy implements Placement {
    // ---- constants: times in microseconds ----
    private static final int CORES = 0, MEMORY = 1, BUSY = 2, QUEUE = 3; // places of the figures
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;

    /** Held asks, deadlines and probes are looked after this often: fine beside any aim. */
    private static final long TICK = 20 * MS;

    /** Held asks are tried again when there is news, and after this long without any. */
    private static final long RETRY = 100 * MS;

    /** A final answer goes out this long before the owner's patience ends: two ticks. */
    private static final long ANSWER_EARLY = 2 * TICK;

    /**
     * The fast half's Q: readings are late but not noisy, so it follows them with a gain near 0.8.
     */
    private static final double FAST_Q = 3.0;

    /**
     * The error that a reset leaves the slow half: at 4 its first step is 0.8, later ones shrink.
     */
    private static final double RESET_ERROR = 4.0;

    /** Sampled machines per root of the eligible ones. */
    private static final double SAMPLE_FACTOR = 2.0;

    /**
     * A report misses binds younger than this (refresh and delay), a list line those younger than
     * that.
     */
    private static final long REPORT_LAG = 1100 * MS;

    private static final long LIST_LAG = 2500 * MS;

    /** Tasks use this part of what they ask until notes on own tasks tell better. */
    private static final double USUAL_USE = 0.75;

    /**
     * Memory above this part in use slows tasks and soon evicts: kept clear of by weight, then by
     * filter.
     */
    private static final double MEMORY_CALM = 0.85;

    private static final double MEMORY_FULL = 0.95;

    /**
     * How far into the fade of the calmest class a machine may be filled before asks rather wait.
     */
    private static final double FADE_ALLOWED = 0.3;

    /** The part of a machine's room that a class of no worth leaves to the class of most worth. */
    private static final double KEPT_FOR_WORTH = 0.15;

    /** Weights of the score's figures. */
    private static final double W_OVER = 3.0;

    private static final double W_START = 0.5;
    private static final double W_QUEUE = 0.6;
    private static final double W_LEAN = 0.3;
    private static final double SPREAD_LEAN =
            2.5; // times the lean, where machines in use cost nothing

    /**
     * A start without the program weighs as so many with it: used to count what waits at a machine.
     */
    private static final double SETUP = 6.0;

    /** A machine keeps a program about so long after its last task here. */
    private static final long KEPT = 8 * SECOND;

    /**
     * The machines that a service's program is expected on, by a hash all share: where placers are
     * many, or more than homes, one sees so few of a service's tasks that its own tell it less.
     */
    private static final int HOMES = 7;

    private static final double HOME_FIRST =
            0.1; // what a home counts as of a new program, each further one
    private static final double HOME_NEXT = 0.12;
    private static final double HOME_WEIGHT =
            3.0; // times W_START there: only together do homes hold

    /**
     * Where placers are many and readings old, an ask waits so long for probes of so many machines.
     */
    private static final int PROBED = 3;

    private static final long PROBE_WAIT = 80 * MS;
    private static final long PROBE_FRESH = 400 * MS;

    /**
     * Where machines outnumber placers: a period for each, longer where this placer has few asks.
     */
    private static final long PROBE_PERIOD = 700 * MS;

    private static final long PROBE_PERIOD_MOST = 2 * SECOND;
    private static final double PROBES_PER_ASK = 2.0;

    /**
     * Where the list shows room, which it does for nothing, probes may cost so much of an ask's
     * worth.
     */
    private static final double PROBE_SPEND = 0.008;

    /** Bounds of an attempt's time-out; between them it follows the waits seen. */
    private static final long TIMEOUT_LEAST = 600 * MS;

    private static final long TIMEOUT_RUNNING =
            1500 * MS; // where the answer comes only when the task runs
    private static final long TIMEOUT_MOST = 3 * SECOND;

    /** A machine that let an attempt time out sits out this long, doubling to the most. */
    private static final long SUSPECT_LEAST = 1 * SECOND;

    private static final long SUSPECT_MOST = 8 * SECOND;
    private static final long CLASS_OUT_LEAST =
            2 * SECOND; // likewise one class, which no probe brings back
    private static final long CLASS_OUT_MOST = 16 * SECOND;

    /** How much of a machine's record of errors each placing there leaves. */
    private static final double FAULTS_KEPT = 0.7;

    /**
     * Where readings count use, what is asked for is only inferred: so much is taken off it, since
     * a refused offer corrects a guess too low at once and nothing corrects one too high.
     */
    private static final double HOPE = 1.15;

    private static final long[] NEVER_OUT = {Long.MIN_VALUE, 0};
    private static final long CROWDED_FOR = 200 * MS;

    /**
     * A machine that sends its tasks away sits out so long, unless it starts anew: lists are less
     * late.
     */
    private static final long LEAVING = 5 * SECOND;

    /** The part of its share of a cold machine's budget that a placer spends. */
    private static final double COLD_PART = 0.8;

    /** Offers are counted over so many windows, for one may reach a machine later than the next. */
    private static final double COLD_SPAN = 1.25;

    /** Where a share is under one offer: how long a placer's turn to send one lasts, in windows. */
    private static final double COLD_TURN = 0.5;

    /** A lost subscription is renewed after this, doubling to the most; well inside mustAskIn. */
    private static final long RENEW_LEAST = 300 * MS;

    private static final long RENEW_MOST = 2 * SECOND;

    // ---- the two-speed filter ----
    /**
     * Scalar Kalman filter in two speeds: follows rises fast, falls slowly; see DESIGN for the
     * resets.
     */
    static final class DualModeKalmanFilter {
        private double slow;
        private double fast;
        private double slowError = 1;
        private double fastError = 1;
        private boolean rising;
        boolean heard;

        void read(double z) {
            if (!Double.isFinite(z)) {
                return; // a reading that is no number says nothing
            }
            heard = true;
            double gain = slowError / (slowError + 1);
            slow += gain * (z - slow);
            slowError *= 1 - gain;
            fastError += FAST_Q;
            gain = fastError / (fastError + 1);
            fast += gain * (z - fast);
            fastError *= 1 - gain;
            boolean above = z > slow;
            if (above != rising) {
                slow = fast; // falling: go on where the fast half left off; rising: decay later
                // from its peak
                slowError = RESET_ERROR;
                rising = above;
            }
        }

        double value() {
            return rising ? fast : slow;
        }
    }

    // ---- machines ----
    /** A change in own tasks that readings may not show yet. */
    private record Change(long at, double cores, double memory) {}

    private static final class Machine {
        final String id;
        MachineEntry entry;
        boolean ready;
        long goneAt; // also while only a task that was handed over names it
        int kind = -1;
        final double[] size = new double[2]; // cores and memory, as in all pairs below
        final DualModeKalmanFilter[] figures =
                new DualModeKalmanFilter[4]; // parts, as reports count; busy part; queue
        final double[] last = new double[2]; // the latest unfiltered reading, for room only
        long readFrom = Long.MIN_VALUE; // binds from this time on are not covered by the reading
        final ArrayDeque<Change> uncovered = new ArrayDeque<>();
        final double[] uncoveredSum = new double[2];
        double startsWaiting; // own, in starts with the program present
        long suspectUntil;
        long suspectFor;
        boolean suspect, unreachable, crowded;
        long answeredAt = Long.MIN_VALUE / 2;
        final Map<String, long[]> classOut =
                new HashMap<>(); // until when it gets none of it, for how long
        double faults; // the part of late offers that erred here and were taken elsewhere
        long coldUntil = Long.MIN_VALUE;
        final ArrayDeque<Long> offers = new ArrayDeque<>(); // within the cold window
        long refusedAt =
                Long.MIN_VALUE; // a refusal tells of room: less than this, but for own tasks since
        final double[] refused = {Double.MAX_VALUE, Double.MAX_VALUE};
        long heardAt = Long.MIN_VALUE / 2; // when the last reading or probe came
        boolean probing;
        double rank; // among the homes or the sample of one task

        Machine(String id) {
            this.id = id;
            forget();
        }

        /**
         * Guards against frozen figures: a machine that starts anew is empty, whatever its last
         * readings.
         */
        void forget() {
            Arrays.setAll(figures, i -> new DualModeKalmanFilter());
            Arrays.fill(last, 0);
            heardAt = Long.MIN_VALUE / 2;
        }

        boolean heard() {
            return figures[CORES].heard;
        }

        boolean sized() {
            return size[CORES] > 0 && size[MEMORY] > 0;
        }

        void changed(long now, Task t, int sign) {
            uncovered.addLast(new Change(now, sign * t.asks[CORES], sign * t.asks[MEMORY]));
            uncoveredSum[CORES] += sign * t.asks[CORES];
            uncoveredSum[MEMORY] += sign * t.asks[MEMORY];
        }

        void coveredTo(long time) {
            while (!uncovered.isEmpty() && uncovered.peekFirst().at() < time) {
                uncoveredSum[CORES] -= uncovered.peekFirst().cores();
                uncoveredSum[MEMORY] -= uncovered.removeFirst().memory();
            }
        }
    }

    /** Own tasks of one service on one machine. */
    private static final class Own {
        int tasks;
        long last = Long.MIN_VALUE / 2; // when the last one that ran ended
    }

    // ---- tasks ----
    private static final class Task {
        final PlacementRequest ask;
        final TaskClass cls;
        final long deadline;
        int attempts;
        Machine at; // of the attempt that is out or placed
        long sentAt;
        boolean out, placed, mayHaveRun;
        boolean closed; // no final answer is owed any more
        Machine mayHaveRunAt;
        long mayHaveRunFrom;
        final Set<Machine> avoid = new HashSet<>(); // those that failed it
        final Set<Machine> erred = new HashSet<>(); // those that answered it by an error
        List<Machine> homes = List.of();
        List<Machine> probed = List.of(); // before the attempt of this number, until this time
        int probedFor = -1;
        long probesUntil;
        double starts;
        boolean firstStart;
        final double[] asks;
        final double[] used = {-1, -1}; // below 0: not told
        Pending told; // why it is held

        Task(PlacementRequest ask, TaskClass cls, long now) {
            this.ask = ask;
            this.cls = cls;
            this.asks = new double[] {ask.cores(), ask.memory()};
            this.deadline = now + Math.max(0, ask.maxWaitMicros());
        }

        boolean keyBound() {
            return mayHaveRun && cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Machine> ready = new ArrayList<>();
    private final Map<String, Map<Machine, Own>> own = new HashMap<>(); // by service
    private final Map<String, Task> tasks = new HashMap<>();
    private final List<Task> held = new ArrayList<>();
    private final Map<String, TaskClass> classes = new HashMap<>();
    private final double calm;
    private final double mostWorth;
    private long now, lastTick, lastRetry, prunedAt, begun;
    private Consumer<Action> actions;
    private double probeCredit;
    private double askRate; // own asks per second, smoothed
    private int asks; // since the last tick
    private long timerAt = Long.MAX_VALUE;
    private boolean news, suspects, doubting;
    private double[] mean = new double[4];
    private long meanAt = Long.MIN_VALUE / 2;
    private boolean subscribed;
    private long renewAt = Long.MIN_VALUE;
    private long renewWait = RENEW_LEAST;
    private final double[] waitMean = {100 * MS, 100 * MS}; // with the program present, and without
    private final double[] waitSpread = {50 * MS, 50 * MS};
    private final double[] use = new double[2]; // what own tasks use, of what they ask for
    private final double[] useOf = new double[2];
    private final int[] causes =
            new int[FilterReason.values().length]; // of the task looked at last, as below
    private Machine closest;
    private double leastLack;
    private final double[] lack = new double[2];
    private final double[] closestLack = new double[2];

    public Policy(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        settings.classes().forEach(c -> classes.put(c.name(), c));
        calm = most(c -> -c.contentionThreshold() - FADE_ALLOWED * c.contentionRange()) * -1;
        mostWorth = Math.max(1e-9, most(TaskClass::priorityWeight));
        useOf[CORES] = 4 * settings.meanTaskCores();
        useOf[MEMORY] = 4 * settings.meanTaskMemory();
        Arrays.setAll(use, r -> USUAL_USE * useOf[r]);
    }

    private double most(ToDoubleFunction<TaskClass> of) {
        return classes.values().stream().mapToDouble(of).max().orElseThrow();
    }

    @Override
    public void on(long time, Event event, Consumer<Action> sink) {
        if (timerAt == Long.MAX_VALUE) {
            lastTick = begun = time;
        }
        now = time;
        actions = sink;
        news |= !(event instanceof TimerFired || event instanceof PlacementRequested);
        if (event instanceof PlacementRequested e) {
            asked(e.request());
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof AttemptAccepted e) {
            placed(e);
        } else if (event instanceof TaskObserved e) {
            noted(e);
        } else if (event instanceof HealthCheckCompleted e) {
            probed(e);
        } else if (event instanceof TaskAdopted e) {
            running(e);
        } else if (event instanceof ClientDisconnected e) {
            ownerLeft(e.requestId());
        } else if (event instanceof MachineListUpdated e) {
            machineList(e);
        } else if (event instanceof TimerFired) {
            tick();
        }
        long due =
                lastTick
                        + (!held.isEmpty() || !many()
                                ? TICK
                                : suspects || !subscribed ? RETRY : SECOND);
        due = Math.max(now + 1, due);
        if (due < timerAt) {
            timerAt = due;
            actions.accept(new SetTimer(due, 0));
        }
    }

    /**
     * More placers than machines: this one sees little of each, and where programs run only by
     * chance.
     */
    private boolean many() {
        return settings.instanceCount() > machines.size();
    }

    /** Of a service's tasks this placer sees too few to know from them where its program is. */
    private boolean seesFew() {
        return many() || settings.instanceCount() > HOMES;
    }

    // ---- the list, the subscription, probes ----
    private void machineList(MachineListUpdated e) {
        if (e.kind() == ListUpdateKind.FAILED) {
            // guards against a list that silently goes stale: any failed call may have been the
            // subscription
            subscribed = false;
            renewAt = now + renewWait;
            renewWait = Math.min(RENEW_MOST, renewWait * 2);
            return;
        }
        if (e.kind() != ListUpdateKind.CACHED) {
            renewWait = RENEW_LEAST;
        } else if (settings.listNeedsSubscription()) {
            renewAt = now;
            renew();
        }
        if (e.kind()
                != ListUpdateKind
                        .DELTA) { // whoever a whole list lacks is gone, though no line says so
            machines.values()
                    .forEach(
                            m -> {
                                m.ready = false;
                                m.goneAt = Math.min(m.goneAt, now);
                            });
        }
        e.entries().forEach(this::listed);
        ready.clear();
        machines.values().stream().filter(m -> m.ready).forEach(ready::add);
    }

    private void renew() {
        if (settings.listNeedsSubscription() && !subscribed && now >= renewAt) {
            subscribed = true; // until told that it failed
            actions.accept(new Subscribe(true));
        }
    }

    private void listed(MachineEntry entry) {
        Machine m = machines.computeIfAbsent(entry.machine(), Machine::new);
        boolean restarted = m.entry != null && entry.startedAtMicros() > m.entry.startedAtMicros();
        m.entry = entry;
        m.ready = entry.state() == MachineState.READY;
        m.goneAt = entry.state() == MachineState.GONE ? now : Long.MAX_VALUE;
        for (MachineKind kind : settings.machineKinds()) {
            if (kind.name().equals(entry.kind())) {
                m.kind = settings.machineKinds().indexOf(kind);
                m.size[CORES] = kind.cores();
                m.size[MEMORY] = kind.memory();
            }
        }
        if (entry.startedAtMicros() > 0) {
            m.coldUntil =
                    Math.max(
                            m.coldUntil,
                            entry.startedAtMicros() + settings.rules().slowStartMicros());
        }
        if (restarted) {
            m.suspect = m.unreachable = false;
            m.suspectFor = m.suspectUntil = 0;
            m.coveredTo(Long.MAX_VALUE);
            m.classOut.clear();
            m.faults = 0;
            own.values()
                    .forEach(
                            at ->
                                    at.computeIfPresent(
                                            m, (k, there) -> there.tasks == 0 ? null : there));
            m.forget();
        }
        if (settings.listShowsFreeCapacity()
                && (settings.loadReportMode() == LoadReportMode.NONE
                        || !m.heard()
                        || m.readFrom < now - LIST_LAG)) {
            read(m, entry.freeCores(), entry.freeMemory(), LIST_LAG); // stands in for a report
        }
    }

    private void read(Machine m, double coresFree, double memoryFree, long lag) {
        if (!m.sized() || !Double.isFinite(coresFree + memoryFree)) {
            return;
        }
        for (int r = CORES; r <= MEMORY; r++) {
            m.last[r] = m.size[r] - (r == CORES ? coresFree : memoryFree);
            m.figures[r].read(m.last[r] / m.size[r]);
        }
        m.heardAt = now;
        m.coveredTo(m.readFrom = now - lag);
    }

    private void report(Machine m, LoadReport report) {
        if (report != null) {
            read(m, report.freeCores(), report.freeMemory(), REPORT_LAG);
            m.figures[BUSY].read(report.busyFraction());
            m.figures[QUEUE].read(report.queueLength());
        }
    }

    private void probeSome(long passed) {
        List<Machine> due = new ArrayList<>();
        suspects = false;
        for (Machine m : ready) {
            suspects |= m.suspect;
            if (m.suspect && now >= m.suspectUntil) {
                probe(m); // a suspect comes back by a probe, not by a task
            } else if (!m.probing && !m.suspect) {
                due.add(m);
            }
        }
        if (settings.loadReportMode() == LoadReportMode.NONE || due.isEmpty() || many()) {
            return;
        }
        double dear =
                settings.listShowsFreeCapacity()
                        ? settings.costWeights().healthCheck() * PROBES_PER_ASK / PROBE_SPEND
                        : 0;
        double period =
                Math.max(1, dear)
                        * Math.max(
                                PROBE_PERIOD,
                                Math.min(
                                        PROBE_PERIOD_MOST,
                                        SECOND
                                                * due.size()
                                                / (PROBES_PER_ASK * Math.max(0.1, askRate))));
        probeCredit = Math.min(due.size(), probeCredit + passed * due.size() / period);
        due.sort(Comparator.comparingLong(m -> m.heardAt));
        // where answers bear reports, only a machine that none came from: its figures would stay
        // frozen
        for (int i = 0;
                i < due.size() && probeCredit >= 1 && now - due.get(i).heardAt >= period;
                i++) {
            probeCredit--;
            probe(due.get(i));
        }
    }

    private void probe(Machine m) {
        if (!m.probing && settings.limits().healthChecks()) {
            m.probing = true;
            actions.accept(new CheckHealth(m.id));
        }
    }

    private void probed(HealthCheckCompleted e) {
        Machine m = machines.get(e.machine());
        if (m == null) {
            return;
        }
        m.probing = false;
        m.heardAt = now;
        if (e.answered()) {
            m.answeredAt = now;
            report(m, e.report());
            if (m.suspect && now >= m.suspectUntil) {
                healthy(m);
            }
        } else if (m.suspect) {
            m.suspectUntil = now + (many() ? SUSPECT_MOST / 2 : SUSPECT_LEAST / 2);
        }
        retryHeld();
    }

    private void tick() {
        long passed = now - lastTick;
        lastTick = now;
        askRate += Math.min(1, passed / 3e6) * (asks * 1e6 / Math.max(1, passed) - askRate);
        asks = 0;
        if (now >= timerAt) {
            timerAt = Long.MAX_VALUE;
        }
        if (now - prunedAt
                >= KEPT) { // nothing is kept of services that are over and machines long gone
            prunedAt = now;
            own.values()
                    .forEach(at -> at.values().removeIf(o -> o.tasks == 0 && o.last < now - KEPT));
            own.values().removeIf(Map::isEmpty);
            // one that comes back soon is known still
            machines.values()
                    .removeIf(
                            m ->
                                    m.goneAt < now - CLASS_OUT_MOST
                                            && own.values().stream()
                                                    .noneMatch(at -> at.containsKey(m)));
        }
        renew();
        probeSome(passed);
        retryHeld();
    }

    // ---- an ask: eligible, sample, score, offer ----
    private void asked(PlacementRequest ask) {
        asks++;
        if (tasks.containsKey(ask.id())) {
            return;
        }
        Task t =
                new Task(
                        ask, classes.getOrDefault(ask.taskClass(), settings.classes().get(0)), now);
        tasks.put(ask.id(), t);
        if (seesFew() && !settings.singlePreferredMachine()) {
            t.homes = homes(t);
        }
        placeOrHold(t);
    }

    /**
     * Where the service's program is expected: placers that list the same machines come to the
     * same.
     */
    private List<Machine> homes(Task t) {
        List<Machine> ranked = new ArrayList<>(ready);
        long seed = (long) t.ask.service().hashCode() << 32;
        ranked.forEach(
                m ->
                        m.rank =
                                -Math.log(1 - random(seed ^ m.id.hashCode()))
                                        / (1e-9 + m.size[CORES]));
        ranked.sort(Comparator.comparingDouble(m -> m.rank));
        return new ArrayList<>(ranked.subList(0, Math.min(HOMES, ranked.size())));
    }

    private static double random(long seed) {
        return new SplittableRandom(seed).nextDouble();
    }

    /**
     * Guards against old readings where placers are many and machines tell only when probed: before
     * the first offer its homes are, where the list shows no room; where it does, the best few
     * after a failed offer.
     */
    private boolean waitsForProbes(Task t, List<Machine> sample) {
        boolean probes =
                settings.loadReportMode() == LoadReportMode.ON_HEALTH_CHECK
                        && t.attempts > 0 == settings.listShowsFreeCapacity();
        if (!probes || !many()) {
            return false;
        }
        List<Machine> of = t.attempts == 0 ? t.homes : sample;
        if (t.probedFor != t.attempts && !of.isEmpty()) {
            t.probedFor = t.attempts;
            t.probesUntil = now + PROBE_WAIT;
            t.probed = new ArrayList<>(of.subList(0, Math.min(PROBED, of.size())));
            t.probed.stream()
                    .filter(m -> m.readFrom < now - REPORT_LAG - PROBE_FRESH)
                    .forEach(this::probe);
        } else if (t.attempts > 0
                && t.probed.stream().anyMatch(m -> !m.probing && sample.contains(m))) {
            sample.removeIf(m -> m.probing || !t.probed.contains(m));
        }
        return now < t.probesUntil && t.probed.stream().anyMatch(m -> m.probing);
    }

    /**
     * Offers, holds, or answers at once where patience is so short that no tick comes before it
     * ends.
     */
    private void placeOrHold(Task t) {
        boolean late = now >= t.deadline - ANSWER_EARLY;
        if (cannotTryAgain(t) || now >= t.deadline - TICK || !place(t) && late) {
            answerNo(t);
        } else if (!t.out) {
            held.add(t);
            tellWhy(t);
        }
    }

    /** Only on a change, since held tasks are looked at many times a second. */
    private void tellWhy(Task t) {
        List<Integer> counts = Arrays.stream(causes).boxed().toList();
        Pending why =
                new Pending(
                        t.ask.id(),
                        counts,
                        closest == null ? "" : closest.id,
                        Math.rint(100 * closestLack[CORES]) / 100,
                        Math.rint(100 * closestLack[MEMORY]) / 100);
        if (!why.equals(t.told)) {
            t.told = why;
            actions.accept(why);
        }
    }

    private void retryHeld() {
        if (held.isEmpty()) {
            return;
        }
        boolean look = news || now - lastRetry >= (many() ? RETRY : TICK);
        lastRetry = look ? now : lastRetry;
        news = false;
        List<Task> waiting = new ArrayList<>(held);
        held.clear();
        waiting.sort(Comparator.comparingDouble(t -> -t.cls.priorityWeight()));
        for (Task t : waiting) {
            if (!t.closed && (look || now >= t.deadline - ANSWER_EARLY)) {
                placeOrHold(t);
            } else if (!t.closed) {
                held.add(t);
            }
        }
    }

    private boolean cannotTryAgain(Task t) {
        return t.attempts >= settings.limits().maxAttempts()
                || t.mayHaveRun && t.cls.idempotency() == Idempotency.NON_IDEMPOTENT
                || t.keyBound() && now >= t.mayHaveRunFrom + t.cls.keyWindowMicros() - TICK;
    }

    /** Offers the task to a machine if any will do; false if it has to wait. */
    private boolean place(Task t) {
        // most look dead: more likely this placer's own link
        doubting = suspects && ready.stream().filter(m -> m.suspect).count() * 2 > ready.size();
        Arrays.fill(causes, 0);
        Arrays.fill(closestLack, 0);
        closest = null;
        List<Machine> fit = new ArrayList<>(ready);
        fit.removeIf(m -> !eligible(m, t));
        Set<Machine> sample = new LinkedHashSet<>(t.homes);
        sample.addAll(t.probed);
        if (seesFew()) { // where the program is: a sample of a large fleet would hardly draw it
            sample.addAll(own.getOrDefault(t.ask.service(), Map.of()).keySet());
        }
        sample.retainAll(fit);
        int drawn =
                (int)
                        Math.min(
                                fit.size(),
                                Math.ceil(
                                        SAMPLE_FACTOR
                                                * Math.sqrt(many() ? ready.size() : fit.size())));
        for (int i = 0; i < drawn; i++) {
            Collections.swap(fit, i, i + random.nextInt(fit.size() - i));
            sample.add(fit.get(i));
        }
        means();
        sample.forEach(m -> m.rank = score(m, t));
        List<Machine> ranked = new ArrayList<>(sample);
        ranked.sort(Comparator.comparingDouble(m -> m.rank));
        if (waitsForProbes(t, ranked) || ranked.isEmpty()) {
            return false;
        }
        offer(t, ranked.get(0));
        return true;
    }

    private boolean eligible(Machine m, Task t) {
        FilterReason cause = cause(m, t);
        if (cause != null) {
            causes[(tooSmall(m, t) ? FilterReason.MACHINE_TOO_SMALL : cause).ordinal()]++;
        }
        return cause == null;
    }

    /** Why the machine gets no offer of the task, or null where it may. */
    private FilterReason cause(Machine m, Task t) {
        if (t.avoid.contains(m)) {
            return FilterReason.PREVIOUS_ATTEMPT_FAILED;
        } else if (!m.ready || !doubting && m.suspect) {
            return FilterReason.MACHINE_EJECTED;
        } else if (!m.suspect && now < m.suspectUntil) {
            return m.crowded ? FilterReason.QUEUE_FULL : FilterReason.MACHINE_EJECTED;
        } else if (now < m.classOut.getOrDefault(t.cls.name(), NEVER_OUT)[0]) {
            return FilterReason.CLASS_EJECTED;
        } else if (t.cls.requiredKind() >= 0 && t.cls.requiredKind() != m.kind) {
            return FilterReason.WRONG_KIND;
        } else if (t.keyBound() && !sameGroup(t.cls.keyScope(), m, t.mayHaveRunAt)) {
            return FilterReason.OUTSIDE_KEY_SCOPE;
        }
        boolean asBig = t.asks[CORES] >= m.refused[CORES] || t.asks[MEMORY] >= m.refused[MEMORY];
        if (m.refusedAt >= m.readFrom && asBig) {
            return FilterReason
                    .RECENTLY_REJECTED; // guards against offering over and over on a reading older
            // than the
            // refusal
        }
        FilterReason room = lacksRoom(m, t);
        return room != null
                ? room
                : !withinCold(m)
                        ? FilterReason.WARMING_UP
                        : !withinSpread(m, t) ? FilterReason.SPREAD_LIMIT : null;
    }

    private static boolean sameGroup(TopologyScope scope, Machine a, Machine b) {
        return switch (scope) {
            case ALL -> true;
            case ZONE ->
                    a.entry != null && b.entry != null && a.entry.zone().equals(b.entry.zone());
            case CELL -> a.entry != null && b.entry != null && a.entry.cell() == b.entry.cell();
            default -> a == b;
        };
    }

    /** Acceptance goes by what is asked for; service by what is used. Null where there is room. */
    private FilterReason lacksRoom(Machine m, Task t) {
        if (!m.sized()) {
            return FilterReason.MACHINE_TOO_SMALL;
        }
        for (int r = CORES; r <= MEMORY; r++) {
            double asked =
                    m.last[r] / (settings.reportsMeasureUsage() ? HOPE * use[r] / useOf[r] : 1);
            double over =
                    used(m, t, r) - (m.heard() ? 0 : mean[r]) - (r == CORES ? calm : MEMORY_FULL);
            lack[r] =
                    Math.max(
                            0,
                            Math.max(
                                    t.asks[r] + m.uncoveredSum[r] + asked - accepts(m, t, r),
                                    over > 0
                                            ? over * m.size[r] / Math.max(1e-9, use[r] / useOf[r])
                                            : 0));
        }
        if (lack[CORES] <= 0 && lack[MEMORY] <= 0) {
            return null;
        }
        double least = Math.max(lack[CORES] / m.size[CORES], lack[MEMORY] / m.size[MEMORY]);
        if ((closest == null || least < leastLack) && !tooSmall(m, t)) {
            closest = m;
            leastLack = least;
            System.arraycopy(lack, 0, closestLack, 0, 2);
        }
        return lack[CORES] > 0 ? FilterReason.INSUFFICIENT_CORES : FilterReason.INSUFFICIENT_MEMORY;
    }

    private double accepts(Machine m, Task t, int r) {
        double open =
                1
                        - KEPT_FOR_WORTH
                                * clamp(
                                        1
                                                - 1.5
                                                        * t.cls.priorityWeight()
                                                        / mostWorth); // near equals share
        return open
                        * (r == CORES ? settings.coresOvercommit() : settings.memoryOvercommit())
                        * m.size[r]
                + 1e-9;
    }

    /**
     * Whether the machine would not take the task, or not serve it well, with nothing else on it.
     */
    private boolean tooSmall(Machine m, Task t) {
        return t.asks[CORES] > accepts(m, t, CORES)
                || t.asks[MEMORY] > accepts(m, t, MEMORY)
                || t.asks[CORES] * use[CORES] / useOf[CORES] > calm * m.size[CORES]
                || t.asks[MEMORY] * use[MEMORY] / useOf[MEMORY] > MEMORY_FULL * m.size[MEMORY];
    }

    /** The part of the machine in use with the task there. */
    private double used(Machine m, Task t, int r) {
        return (m.heard() ? figure(m, r) : mean[r])
                + (t.asks[r] + m.uncoveredSum[r]) * use[r] / useOf[r] / m.size[r];
    }

    private double figure(Machine m, int r) {
        return r == CORES && m.figures[BUSY].heard
                ? m.figures[BUSY].value()
                : m.figures[r].value() * (settings.reportsMeasureUsage() ? 1 : use[r] / useOf[r]);
    }

    /**
     * The mean figures of the machines heard from, for those never heard from; fresh enough for a
     * while.
     */
    private void means() {
        if (now - meanAt < (many() ? RETRY : 1)) {
            return;
        }
        meanAt = now;
        mean = new double[4];
        int n = 0;
        for (Machine m : ready) {
            if (m.heard()) {
                n++;
                mean[CORES] += figure(m, CORES);
                mean[MEMORY] += figure(m, MEMORY);
                mean[QUEUE] += m.figures[QUEUE].value();
            }
        }
        for (int i = 0; i < mean.length; i++) {
            mean[i] /= Math.max(1, n);
        }
    }

    private double score(Machine m, Task t) {
        double cores = used(m, t, CORES);
        double memory = used(m, t, MEMORY);
        double over = clamp((cores - calm + 0.1) / 0.3) + clamp((memory - MEMORY_CALM) / 0.15);
        double lean =
                settings.costWeights().fleet() > 0
                        ? 1 - Math.max(cores, memory)
                        : SPREAD_LEAN * Math.max(cores, memory);
        double told = m.figures[QUEUE].heard ? m.figures[QUEUE].value() : mean[QUEUE];
        double queue = clamp(Math.max(told, m.startsWaiting) / 20);
        double start = W_START * (t.homes.isEmpty() ? 1 : HOME_WEIGHT) * newProgram(m, t);
        // guards against a machine that answers by errors: they cost others little and fail an
        // unsafe task
        double fault = t.cls.idempotency() == Idempotency.NON_IDEMPOTENT ? W_OVER * m.faults : 0;
        return W_OVER * over
                + W_LEAN * lean
                + start
                + W_QUEUE * queue
                + fault
                + settings.costWeights().crossZone()
                        * (m.entry.zone().equals(settings.zone()) ? 0 : 1);
    }

    private static double clamp(double x) {
        return x < 0 ? 0 : Math.min(x, 1);
    }

    /**
     * 0 where own tasks tell that the program runs, little at a home, 1 where it likely has to be
     * set up.
     */
    private double newProgram(Machine m, Task t) {
        Own there = own.getOrDefault(t.ask.service(), Map.of()).get(m);
        if (there != null && there.tasks > 0) {
            return 0;
        }
        int home = t.homes.indexOf(m);
        double held = there == null ? 1 : clamp((now - there.last) / (double) KEPT);
        return home < 0 ? held : Math.min(held, HOME_FIRST + HOME_NEXT * home);
    }

    /**
     * Guards a cold machine against the sum of what all placers send. With a share of an offer or
     * more each sends no more than that within the span. With less, placers take turns by the clock
     * that all share: turns begin 1.5 windows / (budget - 1) apart and last half a window, so that
     * those which meet any one window number the budget at most. An earlier life of this placer
     * counts as having spent its share.
     */
    private boolean withinCold(Machine m) {
        long window = Math.max(1, settings.rules().slowStartWindowMicros());
        long span = (long) (COLD_SPAN * window);
        while (!m.offers.isEmpty() && m.offers.peekFirst() <= now - span) {
            m.offers.removeFirst();
        }
        if (now >= m.coldUntil + window) {
            return true;
        } else if (now < begun + span && m.entry.startedAtMicros() < begun) {
            return false;
        }
        double share = COLD_PART * settings.rules().slowStartOffers() / settings.instanceCount();
        if (share >= 1) {
            return m.offers.size() + 1 <= share;
        }
        double apart =
                (1 + COLD_TURN) * window / Math.max(1, settings.rules().slowStartOffers() - 1);
        int place =
                Math.floorMod(settings.instanceIndex() + m.id.hashCode(), settings.instanceCount());
        double into =
                Math.floorMod(
                        now - (long) (place * apart), (long) (settings.instanceCount() * apart));
        return m.offers.isEmpty() && into < COLD_TURN * window;
    }

    /**
     * Counted over the machines as listed now: a task may be handed over before its machine is
     * listed.
     */
    private boolean withinSpread(Machine m, Task t) {
        int there = 0;
        if (t.cls.spreadScope() != TopologyScope.NONE) {
            for (Map.Entry<Machine, Own> o :
                    own.getOrDefault(t.ask.service(), Map.of()).entrySet()) {
                there +=
                        o.getKey() == m || sameGroup(t.cls.spreadScope(), m, o.getKey())
                                ? o.getValue().tasks
                                : 0;
            }
        }
        return t.cls.spreadScope() == TopologyScope.NONE || there < t.cls.maxTasksPerScope();
    }

    private void offer(Task t, Machine m) {
        long left = t.deadline - now - ANSWER_EARLY / 2;
        t.starts = newProgram(m, t) > 0.5 ? SETUP : 1;
        int w = t.starts > 1 ? 1 : 0;
        long least = settings.acceptedWhenRunning() ? TIMEOUT_RUNNING : TIMEOUT_LEAST;
        long timeout =
                (long) Math.min(TIMEOUT_MOST, Math.max(least, 3 * waitMean[w] + 4 * waitSpread[w]));
        if (t.cls.idempotency() == Idempotency.NON_IDEMPOTENT) {
            timeout = left; // a time-out only loses sight of it
        } else if (left - timeout < TIMEOUT_LEAST
                && t.attempts + 1 >= settings.limits().maxAttempts()) {
            timeout = left;
        }
        t.at = m;
        t.sentAt = now;
        t.told = null;
        t.out = true;
        t.attempts++;
        t.firstStart = w == 1;
        bind(m, t);
        m.changed(now, t, 1);
        m.offers.addLast(now);
        actions.accept(new Offer(t.ask.id(), m.id, Math.max(1, Math.min(timeout, left))));
    }

    private void bind(Machine m, Task t) {
        m.startsWaiting += t.starts;
        own.computeIfAbsent(t.ask.service(), service -> new LinkedHashMap<>())
                .computeIfAbsent(m, there -> new Own())
                .tasks++;
    }

    /** Undoes a bind when its outcome is in. */
    private void release(Machine m, Task t, boolean held) {
        started(m, t);
        Map<Machine, Own> at = own.get(t.ask.service());
        at.get(m).tasks--;
        at.get(m).last = held ? now : at.get(m).last;
        at.values().removeIf(o -> o.tasks == 0 && o.last < now - KEPT);
        m.changed(now, t, -1);
        if (held) {
            m.refused[CORES] += t.asks[CORES];
            m.refused[MEMORY] += t.asks[MEMORY];
        }
        use(t, CORES, -1);
        use(t, MEMORY, -1);
    }

    private void started(Machine m, Task t) {
        m.startsWaiting = Math.max(0, m.startsWaiting - t.starts);
        t.starts = 0;
    }

    // ---- what becomes of an attempt ----
    private void placed(AttemptAccepted e) {
        Task t = tasks.get(e.requestId());
        if (t == null || !t.out || t.placed) {
            return;
        }
        t.placed = true;
        t.closed = true;
        healthy(t.at);
        t.at.faults *= FAULTS_KEPT;
        // an ask that errs everywhere is itself at fault: only what another machine then took
        // counts
        t.erred.forEach(m -> m.faults = FAULTS_KEPT * m.faults + 1 - FAULTS_KEPT);
        waited(t, e.waitedMicros());
        if (settings.acceptedWhenRunning()) {
            started(t.at, t);
        }
    }

    private void waited(Task t, long wait) {
        int w = t.firstStart ? 1 : 0;
        waitSpread[w] += 0.05 * (Math.abs(wait - waitMean[w]) - waitSpread[w]);
        waitMean[w] += 0.05 * (wait - waitMean[w]);
    }

    /**
     * A machine that was out of reach and answers again may have restarted before the list says so.
     */
    private void healthy(Machine m) {
        m.coldUntil =
                m.unreachable
                        ? Math.max(m.coldUntil, now + settings.rules().slowStartMicros())
                        : m.coldUntil;
        m.suspectUntil =
                m.suspect ? 0 : m.suspectUntil; // one that lets too many wait is no suspect
        m.suspect = m.unreachable = false;
        m.suspectFor = 0;
        m.answeredAt = now;
    }

    /**
     * Guards against a machine that leaves one class unanswered or turns it away while it serves
     * the others: what other classes and probes see there proves nothing for it, nor does one task
     * that gets through.
     */
    private void sitOut(Machine m, TaskClass cls) {
        long[] out =
                m.classOut.computeIfAbsent(cls.name(), name -> new long[] {Long.MIN_VALUE / 2, 0});
        out[1] =
                now > out[0] + CLASS_OUT_MOST
                        ? CLASS_OUT_LEAST
                        : Math.min(CLASS_OUT_MOST, out[1] * 2);
        out[0] = now + out[1];
    }

    /**
     * Guards against a machine that leaves before the list says so: emptied by its own word it
     * looks the best of all. Harm: one that sends tasks away for another reason is left alone as
     * long.
     */
    private void leaves(Machine m) {
        m.crowded = false;
        m.suspectUntil = Math.max(m.suspectUntil, now + LEAVING);
    }

    private void suspect(Machine m, String why) {
        if (m.suspect && now < m.suspectUntil) {
            return;
        }
        m.suspectFor = Math.min(SUSPECT_MOST, Math.max(SUSPECT_LEAST, m.suspectFor * 2));
        m.crowded = false;
        m.suspect = settings.limits().healthChecks(); // without them time alone brings it back
        m.suspectUntil = now + m.suspectFor;
        suspects = true;
        actions.accept(new Log("machine " + m.id + " sits out: " + why));
    }

    private void ended(AttemptEnded e) {
        Task t = tasks.get(e.requestId());
        if (t == null || !t.out || e.attempt() != t.attempts - 1) {
            return;
        }
        Machine m = t.at;
        t.out = false;
        boolean wasPlaced = t.placed;
        release(m, t, wasPlaced);
        report(m, e.report());
        t.closed |= e.settled() || wasPlaced;
        if (!wasPlaced) {
            judge(m, t, e);
        } else if (e.reason() == OutcomeReason.EVACUATED) {
            leaves(m);
        } else if (e.outcome() == AttemptOutcome.LOST && e.reason() == OutcomeReason.NONE) {
            m.unreachable =
                    true; // what answers there next has started since, and the list tells late
            suspect(
                    m,
                    "a task was lost with it"); // a dead process breaks off offers at once: a black
            // hole
        }
        if (t.closed) {
            tasks.remove(e.requestId());
            return;
        }
        if (!e.outcome().neverRan && !t.mayHaveRun) {
            t.mayHaveRun = true;
            t.mayHaveRunAt = m;
            t.mayHaveRunFrom = t.sentAt;
        }
        boolean copyStands = e.reason() == OutcomeReason.UNAVAILABLE && t.mayHaveRun;
        if (copyStands) {
            answerNo(t);
        } else {
            placeOrHold(t);
        }
    }

    /** What the outcome of an attempt that was never placed tells of the machine. */
    private void judge(Machine m, Task t, AttemptEnded e) {
        boolean cores = e.reason() == OutcomeReason.INSUFFICIENT_CORES;
        if (e.outcome() == AttemptOutcome.REJECTED) {
            healthy(m);
            if (!settings.acceptedWhenRunning()) {
                waited(t, e.waitedMicros());
            }
            if (cores || e.reason() == OutcomeReason.INSUFFICIENT_MEMORY) {
                m.refusedAt = now;
                m.refused[CORES] = cores ? t.asks[CORES] : Double.MAX_VALUE;
                m.refused[MEMORY] = cores ? Double.MAX_VALUE : t.asks[MEMORY];
            } else if (e.reason() == OutcomeReason.QUEUE_FULL) {
                m.suspectUntil = now + CROWDED_FOR;
                m.crowded = true;
            } else if (e.reason() == OutcomeReason.UNAVAILABLE) {
                if (t.cls.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                        && t.cls.requiredKind() < 0) {
                    leaves(m); // of a key a copy may stand
                }
            } else if (e.reason() == OutcomeReason.NONE) {
                sitOut(
                        m,
                        t.cls); // not for want of room: a rate that is held down, or a start given
                // back
            }
        }
        boolean room =
                e.outcome() == AttemptOutcome.REJECTED && e.reason() != OutcomeReason.UNAVAILABLE;
        if (!room) {
            t.avoid.add(m);
        }
        if (e.outcome() == AttemptOutcome.ERROR) {
            t.erred.add(m);
        }
        boolean silent = e.outcome() == AttemptOutcome.TIMED_OUT && now - t.sentAt >= TIMEOUT_LEAST;
        if (silent && (many() || m.answeredAt > t.sentAt)) {
            sitOut(m, t.cls);
        }
        m.unreachable |= e.outcome() == AttemptOutcome.UNREACHABLE;
        if (silent && (!many() || m.answeredAt < t.sentAt)
                || e.outcome() == AttemptOutcome.LOST
                || e.outcome() == AttemptOutcome.UNREACHABLE) {
            suspect(
                    m,
                    silent
                            ? "an offer timed out"
                            : e.outcome() == AttemptOutcome.LOST
                                    ? "an answer broke off"
                                    : "out of reach");
        }
    }

    private void ownerLeft(String id) {
        Task t = tasks.get(id);
        if (t != null) {
            t.closed = true;
            if (!t.out) {
                tasks.remove(id);
            }
        }
    }

    /** The final no: a refusal where every attempt is proven harmless to repeat, else a failure. */
    private void answerNo(Task t) {
        t.closed = true;
        tasks.remove(t.ask.id());
        boolean harmless =
                !t.mayHaveRun
                        || t.cls.idempotency() == Idempotency.IDEMPOTENT
                        || t.cls.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                && t.cls.keyScope() == TopologyScope.ALL;
        actions.accept(harmless ? new Reject(t.ask.id(), 0) : new Fail(t.ask.id()));
    }

    // ---- tasks that run ----
    private void running(TaskAdopted e) {
        if (tasks.containsKey(e.request().id())) {
            return;
        }
        Task t =
                new Task(
                        e.request(),
                        classes.getOrDefault(e.request().taskClass(), settings.classes().get(0)),
                        now);
        t.at = machines.computeIfAbsent(e.machine(), Machine::new);
        t.attempts = 1;
        t.out = true;
        t.placed = true;
        t.closed = true;
        tasks.put(e.request().id(), t);
        bind(t.at, t); // no change: it ran before, so readings have it
    }

    private void noted(TaskObserved e) {
        Task t = tasks.get(e.requestId());
        if (t == null || !t.out || e.attempt() != t.attempts - 1) {
            return;
        }
        switch (e.kind()) {
            case RUNNING -> started(t.at, t);
            case CORES_USED -> use(t, CORES, e.value());
            case MEMORY_USED -> use(t, MEMORY, e.value());
            case MACHINE_MEMORY ->
                    t.at.figures[MEMORY].read(
                            settings.reportsMeasureUsage() ? e.value() : Double.NaN);
            default -> {}
        }
    }

    /** Keeps the sums of what own tasks use and ask; below 0 means not known. */
    private void use(Task t, int r, double used) {
        if (Double.isFinite(used)) {
            use[r] += Math.max(0, used) - Math.max(0, t.used[r]);
            useOf[r] += t.asks[r] * ((used >= 0 ? 1 : 0) - (t.used[r] >= 0 ? 1 : 0));
            t.used[r] = used;
        }
    }
}
