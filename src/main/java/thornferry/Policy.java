package thornferry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * All decisions of one placer. The interface (settings, events, actions) is in Placement.java.
 *
 * <p>Ordinary path of an ask: eligible machines, a sample of about the root of their number, the lowest
 * weighted score of filtered figures, one offer. Everything else here guards that path where it breaks.
 */
public final class Policy implements Placement {
    // ---- constants: times in microseconds ----
    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    /** Held asks, deadlines and probes are looked after this often: fine beside any aim. */
    private static final long TICK = 20 * MS;
    /** A final answer goes out this long before the owner's patience ends: two ticks. */
    private static final long ANSWER_EARLY = 2 * TICK;
    /** The fast half's Q: readings are late but not noisy, so it follows them with a gain near 0.8. */
    private static final double FAST_Q = 3.0;
    /** The error that a reset leaves the slow half: at 4 its first step is 0.8, later ones shrink. */
    private static final double RESET_ERROR = 4.0;
    /** Sampled machines per root of the eligible ones. */
    private static final double SAMPLE_FACTOR = 2.0;
    /** A report misses binds younger than this (refresh and delay), a list line those younger than that. */
    private static final long REPORT_LAG = 1100 * MS;
    private static final long LIST_LAG = 2500 * MS;
    /** Tasks use this part of what they ask until notes on own tasks tell better. */
    private static final double USUAL_USE = 0.75;
    /** Memory above this part in use slows tasks and soon evicts: kept clear of by weight, then by filter. */
    private static final double MEMORY_CALM = 0.85;
    /** How far into the fade of the calmest class a machine may be filled before asks rather wait. */
    private static final double FADE_ALLOWED = 0.3;
    /** The part of a machine's room that a class of no worth leaves to the class of most worth. */
    private static final double KEPT_FOR_WORTH = 0.15;
    /** Weights of the score's figures. */
    private static final double W_OVER = 3.0;
    private static final double W_START = 0.5;
    private static final double W_QUEUE = 0.6;
    private static final double W_LEAN = 0.3;
    private static final double SPREAD_LEAN = 2.5; // times the lean, where machines in use cost nothing
    private static final double W_SILENT = 0.5;
    /** A start without the program weighs as so many with it: used to count what waits at a machine. */
    private static final double SETUP = 6.0;
    /** A machine keeps a program about so long after its last task here. */
    private static final long KEPT = 8 * SECOND;
    /** Probe each machine once a period; fewer where this placer has few asks, so that probes stay cheap. */
    private static final long PROBE_PERIOD = 700 * MS;
    private static final long PROBE_PERIOD_MOST = 2 * SECOND;
    private static final double PROBES_PER_ASK = 2.0;
    /** Bounds of an attempt's time-out; between them it follows the waits seen. */
    private static final long TIMEOUT_LEAST = 600 * MS;
    private static final long TIMEOUT_RUNNING = 1500 * MS; // where the answer comes only when the task runs
    private static final long TIMEOUT_MOST = 3 * SECOND;
    /** A machine that let an attempt time out sits out this long, doubling to the most. */
    private static final long SUSPECT_LEAST = 1 * SECOND;
    private static final long SUSPECT_MOST = 8 * SECOND;
    /**
     * Where readings count use, what is asked for is only inferred: so much is taken off it, since a refused
     * offer corrects a guess too low at once and nothing corrects one too high.
     */
    private static final double HOPE = 1.15;
    private static final long CROWDED_FOR = 200 * MS;
    /** The part of its share of a cold machine's budget that a placer spends. */
    private static final double COLD_PART = 0.8;
    /** A lost subscription is renewed after this, doubling to the most; well inside mustAskIn. */
    private static final long RENEW_LEAST = 300 * MS;
    private static final long RENEW_MOST = 2 * SECOND;

    // ---- the two-speed filter ----
    /** Scalar Kalman filter in two speeds: follows rises fast, falls slowly; see DESIGN for the resets. */
    static final class Filter {
        private double slow;
        private double fast;
        private double slowError = 1;
        private double fastError = 1;
        private boolean rising;
        private boolean heard;

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
                slow = fast; // falling: go on where the fast half left off; rising: decay later from its peak
                slowError = RESET_ERROR;
                rising = above;
            }
        }

        double value() {
            return rising ? fast : slow;
        }

        boolean heard() {
            return heard;
        }
    }

    // ---- machines ----
    /** A change in own tasks that readings may not show yet. */
    private record Change(long at, double cores, double memory) { }

    private static final class Machine {
        final String id;
        MachineEntry entry;
        boolean ready;
        double cores;
        double memory;
        int kind = -1;
        Filter coreFilter = new Filter(); // part of cores asked for or used, as reports count
        Filter memoryFilter = new Filter();
        Filter busyFilter = new Filter(); // part of cores busy, where reported
        Filter queueFilter = new Filter(); // offers and starts waiting, where reported
        double lastCores; // the latest unfiltered reading, for room only
        double lastMemory;
        long readFrom = Long.MIN_VALUE; // binds from this time on are not covered by the reading
        final ArrayDeque<Change> uncovered = new ArrayDeque<>();
        final Map<String, Integer> services = new HashMap<>(); // own tasks there
        final Map<String, Long> lastHeld = new HashMap<>();
        double startsWaiting; // own, in starts with the program present
        final Map<String, Long> unanswered = new LinkedHashMap<>(); // own offers out, oldest first
        long suspectUntil;
        long suspectFor;
        boolean suspect;
        boolean unreachable;
        long coldUntil = Long.MIN_VALUE;
        final ArrayDeque<Long> offers = new ArrayDeque<>(); // within the cold window
        long refusedAt = Long.MIN_VALUE; // a refusal tells of room: less than this, but for own tasks since
        double refusedCores = Double.MAX_VALUE;
        double refusedMemory = Double.MAX_VALUE;
        long crowdedUntil;
        long heardAt = Long.MIN_VALUE / 2; // when the last reading or probe came
        boolean probing;

        Machine(String id) {
            this.id = id;
        }
    }

    // ---- tasks ----
    private static final class Task {
        final Ask ask;
        final TaskClass cls;
        final long deadline;
        int attempts;
        Machine at; // of the attempt that is out or placed
        long sentAt;
        boolean out;
        boolean placed;
        boolean closed; // no final answer is owed any more
        boolean mayHaveRun;
        Machine mayHaveRunAt;
        long mayHaveRunFrom;
        Machine avoid;
        double starts;
        boolean firstStart;
        double usedCores = -1;
        double usedMemory = -1;

        Task(Ask ask, TaskClass cls, long now) {
            this.ask = ask;
            this.cls = cls;
            this.deadline = now + Math.max(0, ask.patience());
        }
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Integer> reportAt = new HashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, Task> tasks = new HashMap<>();
    private final List<Task> held = new ArrayList<>();
    private final double calm;
    private final double mostWorth;
    private long now;
    private Consumer<Action> actions;
    private boolean ticking;
    private long lastTick;
    private double probeCredit;
    private double askRate; // own asks per second, smoothed
    private int asksThisTick;
    private boolean subscribed;
    private long renewAt = Long.MIN_VALUE;
    private long renewWait = RENEW_LEAST;
    private final double[] waitMean = {100 * MS, 100 * MS}; // with the program present, and without
    private final double[] waitSpread = {50 * MS, 50 * MS};
    private double useCores;
    private double useCoresOf;
    private double useMemory;
    private double useMemoryOf;
    private boolean doubting;

    public Policy(Settings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        for (int i = 0; i < settings.reportNames().size(); i++) {
            reportAt.put(settings.reportNames().get(i), i);
        }
        double least = Double.MAX_VALUE;
        for (TaskClass c : settings.classes()) {
            least = Math.min(least, c.calm() + FADE_ALLOWED * c.fade());
        }
        calm = least;
        mostWorth = Math.max(1e-9, settings.classes().stream().mapToDouble(TaskClass::worth).max().orElse(1));
        useCores = USUAL_USE * (useCoresOf = 4 * settings.meanCores());
        useMemory = USUAL_USE * (useMemoryOf = 4 * settings.meanMemory());
    }

    @Override
    public void on(long time, Event event, Consumer<Action> sink) {
        now = time;
        actions = sink;
        if (event instanceof Asked e) {
            asked(e.ask());
        } else if (event instanceof Ended e) {
            ended(e);
        } else if (event instanceof Placed e) {
            placed(e);
        } else if (event instanceof Noted e) {
            noted(e);
        } else if (event instanceof Probed e) {
            probed(e);
        } else if (event instanceof Running e) {
            running(e);
        } else if (event instanceof OwnerLeft e) {
            ownerLeft(e.id());
        } else if (event instanceof MachineList e) {
            machineList(e);
        } else if (event instanceof Timer) {
            tick();
        }
        if (!ticking) {
            ticking = true;
            lastTick = now;
            actions.accept(new SetTimer(now + TICK, 0));
        }
    }

    // ---- the list, the subscription, probes ----
    private void machineList(MachineList e) {
        if (e.kind() == ListKind.FAILED) {
            // guards against a list that silently goes stale: any failed call may have been the subscription
            subscribed = false;
            renewAt = now + renewWait;
            renewWait = Math.min(RENEW_MOST, renewWait * 2);
            return;
        }
        if (e.kind() != ListKind.CACHED) {
            renewWait = RENEW_LEAST;
        } else if (settings.mustAskForList()) {
            renewAt = now;
            renew();
        }
        if (e.kind() != ListKind.DELTA) {
            machines.values().forEach(m -> m.ready = false);
        }
        e.entries().forEach(this::listed);
    }

    private void renew() {
        if (settings.mustAskForList() && !subscribed && now >= renewAt) {
            subscribed = true; // until told that it failed
            actions.accept(new Subscribe(true));
        }
    }

    private void listed(MachineEntry entry) {
        Machine m = machines.computeIfAbsent(entry.machine(), Machine::new);
        boolean restarted = m.entry != null && entry.started() > m.entry.started();
        m.entry = entry;
        m.ready = entry.state() == MachineState.READY;
        for (int i = 0; i < settings.kinds().size(); i++) {
            if (settings.kinds().get(i).name().equals(entry.kind())) {
                m.kind = i;
                m.cores = settings.kinds().get(i).cores();
                m.memory = settings.kinds().get(i).memory();
            }
        }
        if (entry.started() > 0) {
            m.coldUntil = Math.max(m.coldUntil, entry.started() + settings.rules().rampTime());
        }
        if (restarted) {
            m.suspect = false;
            m.unreachable = false;
            m.suspectFor = 0;
            m.uncovered.clear();
            m.lastHeld.clear();
            forget(m);
        }
        if (settings.listShowsRoom() && (settings.reports() == Reports.NONE || !m.coreFilter.heard())) {
            read(m, entry.coresFree(), entry.memoryFree(), LIST_LAG); // stands in for a report
        }
    }

    /** Guards against frozen figures: a machine that starts anew is empty, whatever its last reading said. */
    private static void forget(Machine m) {
        m.coreFilter = new Filter();
        m.memoryFilter = new Filter();
        m.busyFilter = new Filter();
        m.queueFilter = new Filter();
        m.lastCores = 0;
        m.lastMemory = 0;
        m.heardAt = Long.MIN_VALUE / 2;
    }

    private void read(Machine m, double coresFree, double memoryFree, long lag) {
        if (!(m.cores > 0) || !(m.memory > 0) || !Double.isFinite(coresFree + memoryFree)) {
            return;
        }
        m.lastCores = m.cores - coresFree;
        m.lastMemory = m.memory - memoryFree;
        m.coreFilter.read(m.lastCores / m.cores);
        m.memoryFilter.read(m.lastMemory / m.memory);
        m.heardAt = now;
        m.readFrom = now - lag;
        while (!m.uncovered.isEmpty() && m.uncovered.peekFirst().at() < m.readFrom) {
            m.uncovered.removeFirst();
        }
    }

    private void report(Machine m, double[] report) {
        if (report == null) {
            return;
        }
        read(m, value(report, "x0"), value(report, "x1"), REPORT_LAG);
        m.busyFilter.read(value(report, "cpu"));
        m.queueFilter.read(value(report, "waiting"));
    }

    private double value(double[] report, String name) {
        Integer at = reportAt.get(name);
        return at == null || at >= report.length ? Double.NaN : report[at];
    }

    private void probeSome(long passed) {
        if (!settings.limits().probes() || machines.isEmpty()) {
            return;
        }
        List<Machine> due = new ArrayList<>();
        for (Machine m : machines.values()) {
            if (m.ready && !m.probing && m.suspect && now >= m.suspectUntil) {
                probe(m); // a suspect comes back by a probe, not by a task
            } else if (m.ready && !m.probing && !m.suspect) {
                due.add(m);
            }
        }
        if (settings.reports() == Reports.NONE || due.isEmpty()) {
            return;
        }
        double period = Math.max(PROBE_PERIOD, Math.min(PROBE_PERIOD_MOST,
            SECOND * due.size() / (PROBES_PER_ASK * Math.max(0.1, askRate))));
        probeCredit = Math.min(due.size(), probeCredit + passed * due.size() / period);
        due.sort(Comparator.comparingLong(m -> m.heardAt));
        for (Machine m : due) {
            // where answers bear reports, only a machine that none came from: its figures would stay frozen
            if (probeCredit < 1 || now - m.heardAt < period) {
                break;
            }
            probeCredit--;
            probe(m);
        }
    }

    private void probe(Machine m) {
        m.probing = true;
        actions.accept(new Probe(m.id));
    }

    private void probed(Probed e) {
        Machine m = machines.get(e.machine());
        if (m == null) {
            return;
        }
        m.probing = false;
        m.heardAt = now;
        if (e.answered()) {
            report(m, e.report());
            if (m.suspect && now >= m.suspectUntil) {
                m.suspect = false;
                backFromUnreachable(m);
            }
        } else if (m.suspect) {
            m.suspectUntil = now + SUSPECT_LEAST / 2;
        }
    }

    private void tick() {
        long passed = now - lastTick;
        lastTick = now;
        double part = Math.min(1, passed / (3.0 * SECOND));
        askRate += part * (asksThisTick * (double) SECOND / Math.max(1, passed) - askRate);
        asksThisTick = 0;
        renew();
        probeSome(passed);
        retryHeld();
        actions.accept(new SetTimer(now + TICK, 0));
    }

    // ---- an ask: eligible, sample, score, offer ----
    private TaskClass classOf(String name) {
        for (TaskClass c : settings.classes()) {
            if (c.name().equals(name)) {
                return c;
            }
        }
        return settings.classes().get(0);
    }

    private void asked(Ask ask) {
        asksThisTick++;
        if (tasks.containsKey(ask.id())) {
            return;
        }
        Task t = new Task(ask, classOf(ask.taskClass()), now);
        tasks.put(ask.id(), t);
        if (!place(t)) {
            hold(t);
        }
    }

    /** Guards against patience so short that no tick comes before it ends. */
    private void hold(Task t) {
        if (now >= t.deadline - ANSWER_EARLY) {
            answerNo(t);
        } else {
            held.add(t);
        }
    }

    private void retryHeld() {
        if (held.isEmpty()) {
            return;
        }
        List<Task> waiting = new ArrayList<>(held);
        held.clear();
        waiting.sort(Comparator.comparingDouble(t -> -t.cls.worth()));
        for (Task t : waiting) {
            if (t.closed) {
                continue;
            }
            if (now >= t.deadline - ANSWER_EARLY || cannotTryAgain(t)) {
                answerNo(t);
            } else if (!place(t)) {
                hold(t);
            }
        }
    }

    private boolean cannotTryAgain(Task t) {
        return t.attempts >= settings.limits().attempts() || t.mayHaveRun && (t.cls.effect() == Effect.UNSAFE
            || t.cls.effect() == Effect.KEYED && now >= t.mayHaveRunFrom + t.cls.keyWindow() - TICK);
    }

    /** Offers the task to a machine if any will do; false if it has to wait. */
    private boolean place(Task t) {
        List<Machine> fit = new ArrayList<>();
        doubting = doubtOwnView();
        for (Machine m : machines.values()) {
            if (eligible(m, t)) {
                fit.add(m);
            }
        }
        if (fit.isEmpty()) {
            return false;
        }
        int sample = (int) Math.min(fit.size(), Math.ceil(SAMPLE_FACTOR * Math.sqrt(fit.size())));
        Machine best = null;
        double lowest = Double.POSITIVE_INFINITY;
        double[] mean = means();
        for (int i = 0; i < sample; i++) {
            int j = i + random.nextInt(fit.size() - i);
            Machine m = fit.set(j, fit.get(i));
            double score = score(m, t, mean);
            if (best == null || score < lowest) {
                best = m;
                lowest = score;
            }
        }
        offer(t, best);
        return true;
    }

    private boolean doubtOwnView() {
        int bad = 0;
        int ready = 0;
        for (Machine m : machines.values()) {
            if (m.ready) {
                ready++;
                bad += m.suspect ? 1 : 0;
            }
        }
        return bad * 2 > ready; // most look bad: more likely this placer's own link than all the machines
    }

    private boolean eligible(Machine m, Task t) {
        if (!m.ready || m == t.avoid || m.suspect && !doubting || now < m.crowdedUntil) {
            return false;
        }
        if (t.cls.needsKind() >= 0 && t.cls.needsKind() != m.kind) {
            return false;
        }
        boolean bound = t.mayHaveRun && t.cls.effect() == Effect.KEYED;
        if (bound && !sameGroup(t.cls.keyScope(), m, t.mayHaveRunAt)) {
            return false;
        }
        boolean asBig = t.ask.cores() >= m.refusedCores || t.ask.memory() >= m.refusedMemory;
        if (m.refusedAt >= m.readFrom && asBig) {
            return false; // guards against offering over and over on a reading older than the refusal
        }
        return hasRoom(m, t) && withinCold(m) && withinSpread(m, t);
    }

    private static boolean sameGroup(Scope scope, Machine a, Machine b) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> a.entry != null && b.entry != null && a.entry.zone().equals(b.entry.zone());
            case CELL -> a.entry != null && b.entry != null && a.entry.cell() == b.entry.cell();
            default -> a == b;
        };
    }

    private double coreUse() {
        return useCores / useCoresOf;
    }

    private double memoryUse() {
        return useMemory / useMemoryOf;
    }

    /** Acceptance goes by what is asked for; service by what is used. */
    private boolean hasRoom(Machine m, Task t) {
        if (!(m.cores > 0) || !(m.memory > 0)) {
            return false;
        }
        double cores = t.ask.cores();
        double memory = t.ask.memory();
        for (Change c : m.uncovered) {
            cores += c.cores();
            memory += c.memory();
        }
        double countC = settings.countsUsed() ? HOPE * coreUse() : 1;
        double countM = settings.countsUsed() ? HOPE * memoryUse() : 1;
        double open = 1 - KEPT_FOR_WORTH * clamp(1 - 1.5 * t.cls.worth() / mostWorth); // near equals share
        if (cores + m.lastCores / countC > open * settings.acceptCores() * m.cores + 1e-9
            || memory + m.lastMemory / countM > open * settings.acceptMemory() * m.memory + 1e-9) {
            return false;
        }
        return usedCores(m, t, null) <= calm && usedMemory(m, t, null) <= 0.95;
    }

    private double usedCores(Machine m, Task t, double[] mean) {
        double own = t.ask.cores();
        for (Change c : m.uncovered) {
            own += c.cores();
        }
        double base = m.busyFilter.heard() ? m.busyFilter.value() : m.coreFilter.heard() || mean == null
            ? m.coreFilter.value() * (settings.countsUsed() ? 1 : coreUse()) : mean[0];
        return base + own * coreUse() / m.cores;
    }

    private double usedMemory(Machine m, Task t, double[] mean) {
        double own = t.ask.memory();
        for (Change c : m.uncovered) {
            own += c.memory();
        }
        double base = m.memoryFilter.heard() || mean == null
            ? m.memoryFilter.value() * (settings.countsUsed() ? 1 : memoryUse()) : mean[1];
        return base + own * memoryUse() / m.memory;
    }

    /** The mean figures of the machines heard from, for those never heard from. */
    private double[] means() {
        double[] mean = new double[3];
        int n = 0;
        for (Machine m : machines.values()) {
            if (m.ready && m.coreFilter.heard()) {
                n++;
                mean[0] += m.busyFilter.heard() ? m.busyFilter.value()
                    : m.coreFilter.value() * (settings.countsUsed() ? 1 : coreUse());
                mean[1] += m.memoryFilter.value() * (settings.countsUsed() ? 1 : memoryUse());
                mean[2] += m.queueFilter.value();
            }
        }
        for (int i = 0; i < mean.length; i++) {
            mean[i] /= Math.max(1, n);
        }
        return mean;
    }

    private double score(Machine m, Task t, double[] mean) {
        double cores = usedCores(m, t, mean);
        double memory = usedMemory(m, t, mean);
        double over = clamp((cores - calm + 0.1) / 0.3) + clamp((memory - MEMORY_CALM) / 0.15);
        double lean = settings.prices().fleet() > 0 ? 1 - Math.max(cores, memory)
            : SPREAD_LEAN * Math.max(cores, memory);
        double queue = Math.max(m.queueFilter.heard() ? m.queueFilter.value() : mean[2], m.startsWaiting);
        double silent = m.unanswered.isEmpty() ? 0
            : clamp((now - m.unanswered.values().iterator().next()) / (2 * waitMean[1] + waitSpread[1]) - 1);
        return W_OVER * over + W_LEAN * lean + W_START * newProgram(m, t) + W_QUEUE * clamp(queue / 20)
            + W_SILENT * silent + settings.prices().crossZone() * (inZone(m) ? 0 : 1);
    }

    private boolean inZone(Machine m) {
        return m.entry.zone().equals(settings.zone());
    }

    private static double clamp(double x) {
        return x < 0 ? 0 : Math.min(x, 1);
    }

    /** 0 where own tasks tell that the program runs, 1 where it is likely to be set up anew. */
    private double newProgram(Machine m, Task t) {
        if (m.services.getOrDefault(t.ask.service(), 0) > 0) {
            return 0;
        }
        Long held = m.lastHeld.get(t.ask.service());
        return held == null ? 1 : clamp((now - held) / (double) KEPT);
    }

    private boolean withinCold(Machine m) {
        while (!m.offers.isEmpty() && m.offers.peekFirst() <= now - settings.rules().coldWindow()) {
            m.offers.removeFirst();
        }
        double share = Math.max(1, COLD_PART * settings.rules().coldOffers() / settings.instances());
        return now >= m.coldUntil + settings.rules().coldWindow() || m.offers.size() + 1 <= share;
    }

    /** Counted over the machines as listed now: a task may be handed over before its machine is listed. */
    private boolean withinSpread(Machine m, Task t) {
        if (t.cls.spread() == Scope.NONE) {
            return true;
        }
        int there = 0;
        for (Machine other : machines.values()) {
            if (other == m || sameGroup(t.cls.spread(), m, other)) {
                there += other.services.getOrDefault(t.ask.service(), 0);
            }
        }
        return there < t.cls.spreadMost();
    }

    private void offer(Task t, Machine m) {
        long left = t.deadline - now - ANSWER_EARLY / 2;
        t.starts = newProgram(m, t) > 0.5 ? SETUP : 1;
        int w = t.starts > 1 ? 1 : 0;
        long least = settings.placedWhenRunning() ? TIMEOUT_RUNNING : TIMEOUT_LEAST;
        long timeout = (long) Math.min(TIMEOUT_MOST, Math.max(least, 3 * waitMean[w] + 4 * waitSpread[w]));
        if (t.cls.effect() == Effect.UNSAFE) {
            timeout = left; // a time-out only loses sight of it
        } else if (left - timeout < TIMEOUT_LEAST && t.attempts + 1 >= settings.limits().attempts()) {
            timeout = left;
        }
        t.at = m;
        t.sentAt = now;
        t.out = true;
        t.attempts++;
        t.firstStart = w == 1;
        bind(m, t);
        m.unanswered.put(t.ask.id(), now);
        m.offers.addLast(now);
        actions.accept(new Offer(t.ask.id(), m.id, Math.max(1, Math.min(timeout, left))));
    }

    private void bind(Machine m, Task t) {
        m.startsWaiting += t.starts;
        m.services.merge(t.ask.service(), 1, Integer::sum);
        m.uncovered.addLast(new Change(now, t.ask.cores(), t.ask.memory()));
    }

    /** Undoes a bind when its outcome is in. */
    private void release(Machine m, Task t, boolean held) {
        started(m, t);
        m.unanswered.remove(t.ask.id());
        if (m.services.merge(t.ask.service(), -1, Integer::sum) <= 0) {
            m.services.remove(t.ask.service());
            if (held) {
                m.lastHeld.put(t.ask.service(), now);
            }
        }
        m.uncovered.addLast(new Change(now, -t.ask.cores(), -t.ask.memory()));
        if (held) {
            m.refusedCores += t.ask.cores();
            m.refusedMemory += t.ask.memory();
        }
        use(t, -1, -1);
    }

    private void started(Machine m, Task t) {
        m.startsWaiting = Math.max(0, m.startsWaiting - t.starts);
        t.starts = 0;
    }

    // ---- what becomes of an attempt ----
    private void placed(Placed e) {
        Task t = tasks.get(e.id());
        if (t == null || !t.out || t.placed) {
            return;
        }
        t.placed = true;
        t.closed = true;
        t.at.unanswered.remove(e.id());
        healthy(t.at);
        waited(t, e.waited());
        if (settings.placedWhenRunning()) {
            started(t.at, t);
        }
    }

    private void waited(Task t, long wait) {
        int w = t.firstStart ? 1 : 0;
        waitSpread[w] += 0.05 * (Math.abs(wait - waitMean[w]) - waitSpread[w]);
        waitMean[w] += 0.05 * (wait - waitMean[w]);
    }

    private void healthy(Machine m) {
        m.suspect = false;
        m.suspectFor = 0;
        backFromUnreachable(m);
    }

    /** A machine that was out of reach and answers again may have restarted before the list says so. */
    private void backFromUnreachable(Machine m) {
        if (m.unreachable) {
            m.unreachable = false;
            m.coldUntil = Math.max(m.coldUntil, now + settings.rules().rampTime());
        }
    }

    private void suspect(Machine m, String why) {
        if (m.suspect && now < m.suspectUntil) {
            return;
        }
        m.suspectFor = Math.min(SUSPECT_MOST, Math.max(SUSPECT_LEAST, m.suspectFor * 2));
        m.suspect = settings.limits().probes();
        m.suspectUntil = now + m.suspectFor;
        if (!m.suspect) {
            m.crowdedUntil = m.suspectUntil; // without probes it comes back by a task
        }
        actions.accept(new Log("machine " + m.id + " sits out: " + why));
    }

    private void ended(Ended e) {
        Task t = tasks.get(e.id());
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
        } else if (e.outcome() == Outcome.LOST && e.reason() == Reason.NONE) {
            suspect(m, "a task was lost with it"); // a dead process breaks off offers at once: a black hole
        }
        if (t.closed) {
            tasks.remove(e.id());
            return;
        }
        if (!e.outcome().neverRan && !t.mayHaveRun) {
            t.mayHaveRun = true;
            t.mayHaveRunAt = m;
            t.mayHaveRunFrom = t.sentAt;
        }
        boolean copyStands = e.reason() == Reason.NOT_HERE && t.mayHaveRun;
        if (copyStands || cannotTryAgain(t) || now >= t.deadline - ANSWER_EARLY) {
            answerNo(t);
        } else if (!place(t)) {
            hold(t);
        }
    }

    /** What the outcome of an attempt that was never placed tells of the machine. */
    private void judge(Machine m, Task t, Ended e) {
        switch (e.outcome()) {
            case REFUSED -> {
                healthy(m);
                if (!settings.placedWhenRunning()) {
                    waited(t, e.waited());
                }
                if (e.reason() == Reason.NO_CORES || e.reason() == Reason.NO_MEMORY) {
                    m.refusedAt = now;
                    m.refusedCores = e.reason() == Reason.NO_CORES ? t.ask.cores() : Double.MAX_VALUE;
                    m.refusedMemory = e.reason() == Reason.NO_MEMORY ? t.ask.memory() : Double.MAX_VALUE;
                } else if (e.reason() == Reason.OFFERS_WAIT) {
                    m.crowdedUntil = now + CROWDED_FOR;
                } else {
                    t.avoid = m;
                }
            }
            case TIMED_OUT -> {
                t.avoid = m;
                if (now - t.sentAt >= TIMEOUT_LEAST) {
                    suspect(m, "an offer timed out");
                }
            }
            case UNREACHABLE -> {
                t.avoid = m;
                m.unreachable = true;
                suspect(m, "out of reach");
            }
            case LOST -> {
                t.avoid = m;
                suspect(m, "an answer broke off");
            }
            case ERROR -> t.avoid = m;
            default -> { }
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
        boolean harmless = !t.mayHaveRun || t.cls.effect() == Effect.SAFE
            || t.cls.effect() == Effect.KEYED && t.cls.keyScope() == Scope.ALL;
        actions.accept(harmless ? new Refuse(t.ask.id(), 0) : new Fail(t.ask.id()));
    }

    // ---- tasks that run ----
    private void running(Running e) {
        if (tasks.containsKey(e.ask().id())) {
            return;
        }
        Task t = new Task(e.ask(), classOf(e.ask().taskClass()), now);
        t.at = machines.computeIfAbsent(e.machine(), Machine::new);
        t.attempts = 1;
        t.out = true;
        t.placed = true;
        t.closed = true;
        tasks.put(e.ask().id(), t);
        bind(t.at, t);
        t.at.uncovered.removeLast(); // it ran before, so readings have it
    }

    private void noted(Noted e) {
        Task t = tasks.get(e.id());
        if (t == null || !t.out || e.attempt() != t.attempts - 1) {
            return;
        }
        switch (e.kind()) {
            case RUNS -> {
                    started(t.at, t);
            }
            case CORES_USED -> use(t, e.level(), t.usedMemory);
            case MEMORY_USED -> use(t, t.usedCores, e.level());
            case MACHINE_MEMORY -> t.at.memoryFilter.read(settings.countsUsed() ? e.level() : Double.NaN);
            default -> { }
        }
    }

    /** Keeps the sums of what own tasks use and ask; below 0 means not known. */
    private void use(Task t, double cores, double memory) {
        if (!Double.isFinite(cores) || !Double.isFinite(memory)) {
            return;
        }
        useCores += Math.max(0, cores) - Math.max(0, t.usedCores);
        useCoresOf += t.ask.cores() * ((cores >= 0 ? 1 : 0) - (t.usedCores >= 0 ? 1 : 0));
        useMemory += Math.max(0, memory) - Math.max(0, t.usedMemory);
        useMemoryOf += t.ask.memory() * ((memory >= 0 ? 1 : 0) - (t.usedMemory >= 0 ? 1 : 0));
        t.usedCores = cores;
        t.usedMemory = memory;
    }
}
