package thornferry.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Held;
import thornferry.protocol.v1.Load;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Task;

/**
 * One life of a node: takes or refuses offers, starts and ends stand-in work. No I/O and no clock;
 * the same seed and the same calls give the same answers. Times are microseconds.
 */
public final class NodeEmulator {
    /**
     * What to tell the placer that offered the attempt; {@code offer} is empty where the node does
     * not hold it.
     *
     * @param silent the node works but says nothing: remembered, and not sent
     */
    public record AttemptReport(
            String placer,
            String attempt,
            Answer.Kind kind,
            Answer.Reason reason,
            boolean ran,
            double coresUsed,
            double memoryUsed,
            Offer offer,
            boolean silent) {}

    private enum State {
        QUEUED,
        WAITING,
        STARTING,
        RUNNING
    }

    private static final class Work {
        final Offer offer;
        final String attempt;
        final String placer;
        final String owner;
        final Task task;
        State state = State.QUEUED;
        boolean silent; // its answers go nowhere
        long due;
        double coresUsed;
        double memoryUsed;

        Work(Offer offer) {
            this.offer = offer;
            attempt = offer.getAttempt();
            placer = offer.getPlacer();
            owner = offer.getOwner();
            task = offer.getTask();
        }

        boolean began() {
            return state == State.STARTING || state == State.RUNNING;
        }
    }

    private final NodeShape shape;
    private final NodeBehavior behaviour;
    private final ZoneIdempotencyKeys keys;
    private final SplittableRandom random;
    private final long startedAt;
    private final long incarnation;
    private final Map<String, Work> works = new LinkedHashMap<>();
    private final ArrayDeque<Work> offers = new ArrayDeque<>();
    private final ArrayDeque<Work> starts = new ArrayDeque<>();
    private final Map<String, Integer> programs =
            new LinkedHashMap<>(); // service -> its tasks here, least used first
    private final ArrayDeque<Long> coldOffers = new ArrayDeque<>();
    private final Map<String, Long> muted =
            new LinkedHashMap<>(); // class -> until when it is left unanswered
    private double cores;
    private double memory;
    private double memoryUsed;
    private int starting;
    private long lookUntil = Long.MAX_VALUE;
    private long usesAt;
    private boolean draining;
    private boolean fallen;
    private long started;

    /**
     * @param warm the node has run for long: no cold start
     */
    public NodeEmulator(
            NodeShape shape,
            NodeBehavior behaviour,
            ZoneIdempotencyKeys keys,
            long seed,
            long now,
            long incarnation,
            boolean warm) {
        this.shape = shape;
        this.behaviour = behaviour;
        this.keys = keys;
        this.random = new SplittableRandom(seed ^ incarnation);
        this.startedAt = warm ? now - 10 * behaviour.ramp() - 3_600_000_000L : now;
        this.incarnation = incarnation;
        this.usesAt = now + Math.max(1, behaviour.usesEvery());
    }

    public long incarnation() {
        return incarnation;
    }

    public long uptime(long now) {
        return now - startedAt;
    }

    /** True once it was pushed over while cold: it does nothing more in this life. */
    public boolean fallen() {
        return fallen;
    }

    public int held() {
        return works.size();
    }

    /** Starts of tasks in this life. */
    public long started() {
        return started;
    }

    // ---- offers ----
    public void offer(long now, Offer offer, Consumer<AttemptReport> say) {
        if (fallen || works.containsKey(offer.getAttempt())) {
            return; // offered twice: the answer to the first counts for both
        }
        Work w = new Work(offer);
        if (pushedOver(now)) {
            fallen = true;
            return;
        }
        w.silent = muted.getOrDefault(w.task.getTaskClass(), Long.MIN_VALUE) > now;
        if (draining) {
            refuse(w, Answer.Reason.DRAINING, say);
        } else if (offers.size() >= behaviour.queue()) {
            refuse(w, Answer.Reason.OFFERS_WAIT, say);
        } else {
            works.put(w.attempt, w);
            offers.add(w);
            if (offers.size() == 1) {
                look(now);
            }
            tick(now, say);
        }
    }

    private boolean pushedOver(long now) {
        if (now >= startedAt + behaviour.ramp()) {
            return false;
        }
        coldOffers.add(now);
        while (coldOffers.peekFirst() <= now - behaviour.coldWindow()) {
            coldOffers.removeFirst();
        }
        double capacity =
                behaviour.startsAtOnce()
                        * (double) behaviour.coldWindow()
                        / Math.max(1, behaviour.start() * behaviour.startFactor());
        double bears =
                Math.max(behaviour.coldOffers(), behaviour.coldMultiple() * pace(now) * capacity);
        return coldOffers.size() > bears;
    }

    /** The part of its full pace that a node reaches at this moment after its start. */
    private double pace(long now) {
        double warm =
                behaviour.ramp() == 0
                        ? 1
                        : Math.min(1, (now - startedAt) / (double) behaviour.ramp());
        return behaviour.coldFrom() + (1 - behaviour.coldFrom()) * warm;
    }

    private void look(long now) {
        long most = behaviour.thinkMost() - behaviour.thinkLeast();
        lookUntil = now + behaviour.thinkLeast() + (most > 0 ? random.nextLong(most) : 0);
    }

    private void decide(long now, Work w, Consumer<AttemptReport> say) {
        Task t = w.task;
        long window = behaviour.keyWindows().getOrDefault(t.getTaskClass(), 0L);
        if (t.getCores() + cores > shape.cores() + 1e-9) {
            refuse(w, Answer.Reason.NO_CORES, say);
        } else if (t.getMemory() + memory > shape.memory() + 1e-9) {
            refuse(w, Answer.Reason.NO_MEMORY, say);
        } else if (window > 0
                && !t.getKey().isEmpty()
                && !keys.claim(
                        now, shape.zone(), t.getTaskClass(), t.getKey(), w.attempt, window)) {
            refuse(w, Answer.Reason.KEY_HELD, say);
        } else {
            cores += t.getCores();
            memory += t.getMemory();
            w.state = State.WAITING;
            starts.add(w);
            say(w, Answer.Kind.ACCEPTED, Answer.Reason.NONE, false, say);
        }
    }

    private void refuse(Work w, Answer.Reason reason, Consumer<AttemptReport> say) {
        works.remove(w.attempt);
        say(w, Answer.Kind.REFUSED, reason, false, say);
    }

    private static void say(
            Work w,
            Answer.Kind kind,
            Answer.Reason reason,
            boolean ran,
            Consumer<AttemptReport> say) {
        say.accept(
                new AttemptReport(
                        w.placer,
                        w.attempt,
                        kind,
                        reason,
                        ran,
                        w.coresUsed,
                        w.memoryUsed,
                        w.offer,
                        w.silent));
    }

    /** The placer no longer wants the attempt: it is dropped at whatever point it is. */
    public void withdraw(long now, String placer, String attempt, Consumer<AttemptReport> say) {
        Work w = works.get(attempt);
        if (w == null) {
            // never came, or is over: for the placer that asks now it will not run any more
            say.accept(
                    new AttemptReport(
                            placer,
                            attempt,
                            Answer.Kind.WITHDRAWN,
                            Answer.Reason.NONE,
                            true,
                            0,
                            0,
                            Offer.getDefaultInstance(),
                            false));
            return;
        }
        boolean ran = w.began();
        w.silent = false;
        leave(now, w, !ran);
        say(w, Answer.Kind.WITHDRAWN, Answer.Reason.NONE, ran, say);
        tick(now, say);
    }

    // ---- time ----
    /** Does what is due; to be called at {@link #next} or any other time. */
    public void tick(long now, Consumer<AttemptReport> say) {
        while (!fallen && !offers.isEmpty() && lookUntil <= now) {
            Work w = offers.poll();
            lookUntil = Long.MAX_VALUE;
            decide(now, w, say);
            if (!offers.isEmpty()) {
                look(now);
            }
        }
        if (fallen) {
            return;
        }
        List<Work> due = new ArrayList<>();
        for (Work w : works.values()) {
            if (w.began() && w.due <= now) {
                due.add(w);
            }
        }
        for (Work w : due) {
            if (w.state == State.STARTING) {
                runs(now, w, say);
            } else {
                leave(now, w, false);
                say(w, Answer.Kind.ENDED, Answer.Reason.NONE, true, say);
            }
        }
        while (!starts.isEmpty() && starting < behaviour.startsAtOnce()) {
            begin(now, starts.poll());
        }
        if (memoryUsed > shape.memory()) {
            evict(now, say);
        }
        if (behaviour.usesEvery() > 0 && now >= usesAt) {
            usesAt = now + behaviour.usesEvery();
            works.values().stream()
                    .filter(w -> w.state == State.RUNNING)
                    .forEach(w -> say(w, Answer.Kind.USES, Answer.Reason.NONE, true, say));
        }
    }

    private void begin(long now, Work w) {
        starting++;
        w.state = State.STARTING;
        boolean present = programs.containsKey(w.task.getService());
        w.due =
                now
                        + (long)
                                (behaviour.start()
                                        * (present ? 1 : behaviour.startFactor())
                                        / pace(now));
        Integer tasks = programs.remove(w.task.getService());
        programs.put(w.task.getService(), tasks == null ? 1 : tasks + 1);
        String unused =
                programs.size() <= behaviour.programs()
                        ? null
                        : programs.entrySet().stream()
                                .filter(e -> e.getValue() == 0)
                                .map(Map.Entry::getKey)
                                .findFirst()
                                .orElse(null);
        if (unused != null) {
            programs.remove(unused);
        }
    }

    private void runs(long now, Work w, Consumer<AttemptReport> say) {
        starting--;
        started++;
        w.state = State.RUNNING;
        double part =
                behaviour.usesLeast()
                        + random.nextDouble() * (behaviour.usesMost() - behaviour.usesLeast());
        w.coresUsed = w.task.getCores() * part;
        w.memoryUsed = w.task.getMemory() * part;
        memoryUsed += w.memoryUsed;
        w.due =
                now
                        + (w.task.getRunsForMs() > 0
                                ? w.task.getRunsForMs() * 1_000
                                : behaviour.runsFor());
        say(w, Answer.Kind.RUNS, Answer.Reason.NONE, true, say);
    }

    /** Memory ran out: the newest goes first, until the rest fits. */
    private void evict(long now, Consumer<AttemptReport> say) {
        List<Work> running = new ArrayList<>(works.values());
        for (int i = running.size() - 1; i >= 0 && memoryUsed > shape.memory(); i--) {
            if (running.get(i).state == State.RUNNING) {
                leave(now, running.get(i), false);
                say(running.get(i), Answer.Kind.EVICTED, Answer.Reason.NONE, true, say);
            }
        }
    }

    private void leave(long now, Work w, boolean neverRan) {
        works.remove(w.attempt);
        if (w.state == State.QUEUED) {
            if (offers.peekFirst() == w) {
                lookUntil = offers.size() > 1 ? now : Long.MAX_VALUE;
            }
            offers.remove(w);
            return;
        }
        starts.remove(w);
        cores -= w.task.getCores();
        memory -= w.task.getMemory();
        memoryUsed -= w.state == State.RUNNING ? w.memoryUsed : 0;
        if (w.began()) {
            programs.computeIfPresent(w.task.getService(), (s, n) -> Math.max(0, n - 1));
        }
        starting -= w.state == State.STARTING ? 1 : 0;
        if (neverRan && !w.task.getKey().isEmpty()) {
            keys.release(shape.zone(), w.task.getTaskClass(), w.task.getKey(), w.attempt);
        }
    }

    /** When {@link #tick} next has something to do; Long.MAX_VALUE for never. */
    public long next() {
        long next = offers.isEmpty() ? Long.MAX_VALUE : lookUntil;
        for (Work w : works.values()) {
            next = w.began() ? Math.min(next, w.due) : next;
        }
        return behaviour.usesEvery() > 0 && !works.isEmpty() ? Math.min(next, usesAt) : next;
    }

    // ---- what others do to it ----
    /** Starts or ends a drain; at the start everything is sent away at once. */
    public void drain(long now, boolean on, Consumer<AttemptReport> say) {
        draining = on;
        if (!on) {
            return;
        }
        for (Work w : new ArrayList<>(works.values())) {
            boolean queued = w.state == State.QUEUED;
            boolean ran = w.began();
            leave(now, w, !ran);
            say(
                    w,
                    queued ? Answer.Kind.REFUSED : Answer.Kind.SENT_AWAY,
                    queued ? Answer.Reason.DRAINING : Answer.Reason.NONE,
                    ran,
                    say);
        }
    }

    public boolean draining() {
        return draining;
    }

    /**
     * Leaves one class unanswered for a time, while others are served: offers are taken, and
     * nothing is said.
     */
    public void mute(String taskClass, long until) {
        muted.put(taskClass, until);
    }

    /** Pushes out the newest tasks, as a wave of preemption would. */
    public void preempt(long now, int most, Consumer<AttemptReport> say) {
        List<Work> all = new ArrayList<>(works.values());
        for (int i = all.size() - 1; i >= Math.max(0, all.size() - most); i--) {
            if (all.get(i).state == State.RUNNING) {
                leave(now, all.get(i), false);
                say(all.get(i), Answer.Kind.EVICTED, Answer.Reason.NONE, true, say);
            }
        }
    }

    public Load load() {
        return Load.newBuilder()
                .setCoresFree(shape.cores() - cores)
                .setMemoryFree(shape.memory() - memory)
                .setWaiting(offers.size() + starts.size() + starting)
                .build();
    }

    /** What it holds of one placer's, for a registration. */
    public List<Held> inventory(String placer) {
        List<Held> held = new ArrayList<>();
        for (Work w : works.values()) {
            if (w.placer.equals(placer)) {
                held.add(
                        Held.newBuilder()
                                .setAttempt(w.attempt)
                                .setTask(w.task)
                                .setOwner(w.owner)
                                .setRuns(w.state == State.RUNNING)
                                .setPlacer(w.placer)
                                .build());
            }
        }
        return held;
    }
}
