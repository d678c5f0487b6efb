package thornferry.agent;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import thornferry.agent.ZoneIdempotencyKeys.ZoneKey;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Held;
import thornferry.protocol.v1.Load;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Task;

/**
 * One incarnation of a node: accepts or rejects offers and emulates the start, run and end of
 * tasks. It does no I/O and reads no clock; the same seed and the same calls give the same reports.
 * Times are microseconds. Each method that can change an attempt passes the reports of the change
 * to a consumer, in their order.
 */
final class NodeEmulator {
    /** A node that is not in slow start has been up this long, and ten slow starts. */
    private static final long WARM_UPTIME_MICROS = 3_600_000_000L;

    private static final int WARM_UPTIME_SLOW_STARTS = 10;
    private static final long MICROS_PER_MILLI = 1_000;

    private final NodeShape shape;
    private final NodeBehavior behavior;
    private final ZoneIdempotencyKeys keys;
    private final SplittableRandom random;
    private final long startedAtMicros;
    private final long incarnation;
    private final Map<String, EmulatedTask> tasks = new LinkedHashMap<>();
    private final OfferQueue offers;
    private final ArrayDeque<EmulatedTask> pendingStarts = new ArrayDeque<>();
    private final ProgramCache programs;
    private final SlowStartCapacity slowStart;
    private final ResourceUsage resources;
    private final Map<String, Long> mutedUntilMicrosByClass = new LinkedHashMap<>();
    private int startingTasks;
    private long nextUsageReportMicros;
    private boolean draining;
    private boolean crashed;

    /**
     * Starts an incarnation without tasks.
     *
     * @param keys idempotency keys of the node's zone
     * @param incarnation greater than that of any former incarnation of the node
     * @param warm the node has been up for long and skips its slow start
     */
    NodeEmulator(
            NodeShape shape,
            NodeBehavior behavior,
            ZoneIdempotencyKeys keys,
            long seed,
            long now,
            long incarnation,
            boolean warm) {
        this.shape = shape;
        this.behavior = behavior;
        this.keys = keys;
        this.incarnation = incarnation;
        random = new SplittableRandom(seed ^ incarnation);
        startedAtMicros =
                warm
                        ? now
                                - WARM_UPTIME_SLOW_STARTS * behavior.slowStartMicros()
                                - WARM_UPTIME_MICROS
                        : now;
        offers = new OfferQueue(behavior, random);
        programs = new ProgramCache(behavior.cachedPrograms());
        slowStart = new SlowStartCapacity(behavior, startedAtMicros);
        resources = new ResourceUsage(shape);
        nextUsageReportMicros = now + Math.max(1, behavior.usageReportMicros());
    }

    long incarnation() {
        return incarnation;
    }

    long uptimeMicros(long now) {
        return now - startedAtMicros;
    }

    /** True once the node was overloaded in its slow start: this incarnation does nothing more. */
    boolean isCrashed() {
        return crashed;
    }

    boolean isDraining() {
        return draining;
    }

    /** Number of offers and tasks on the node. */
    int attemptCount() {
        return tasks.size();
    }

    // ---- offers and cancellations ----

    /** Takes an offer; a repeated offer of the same attempt is ignored. */
    void offer(long now, Offer offer, Consumer<AttemptReport> reports) {
        if (crashed || tasks.containsKey(offer.getAttempt())) {
            return;
        }
        if (slowStart.isOverloadedByOffer(now)) {
            crashed = true;
            return;
        }
        EmulatedTask task = new EmulatedTask(offer, isMuted(now, offer.getTask().getTaskClass()));
        if (draining) {
            reject(task, Answer.Reason.DRAINING, reports);
        } else if (offers.isFull()) {
            reject(task, Answer.Reason.OFFERS_WAIT, reports);
        } else {
            tasks.put(task.attempt(), task);
            offers.add(now, task);
            tick(now, reports);
        }
    }

    private boolean isMuted(long now, String taskClass) {
        return mutedUntilMicrosByClass.getOrDefault(taskClass, Long.MIN_VALUE) > now;
    }

    private void decide(long now, EmulatedTask task, Consumer<AttemptReport> reports) {
        Answer.Reason shortage = resources.shortage(task.task());
        if (shortage != Answer.Reason.NONE) {
            reject(task, shortage, reports);
        } else if (!claimKey(now, task)) {
            reject(task, Answer.Reason.KEY_HELD, reports);
        } else {
            resources.reserve(task.task());
            task.accept();
            pendingStarts.add(task);
            reports.accept(task.report(Answer.Kind.ACCEPTED, Answer.Reason.NONE, false));
        }
    }

    /** False if the task has an idempotency key which another attempt has claimed. */
    private boolean claimKey(long now, EmulatedTask task) {
        long windowMicros =
                behavior.keyWindowMicrosByClass().getOrDefault(task.task().getTaskClass(), 0L);
        return windowMicros <= 0
                || task.task().getKey().isEmpty()
                || keys.claim(now, zoneKey(task.task()), task.attempt(), windowMicros);
    }

    private ZoneKey zoneKey(Task task) {
        return new ZoneKey(shape.zone(), task.getTaskClass(), task.getKey());
    }

    private void reject(EmulatedTask task, Answer.Reason reason, Consumer<AttemptReport> reports) {
        tasks.remove(task.attempt());
        reports.accept(task.report(Answer.Kind.REFUSED, reason, false));
    }

    /** Cancels an attempt in any state, and confirms it also if the attempt is unknown. */
    void cancel(long now, String placer, String attempt, Consumer<AttemptReport> reports) {
        EmulatedTask task = tasks.get(attempt);
        if (task == null) {
            reports.accept(AttemptReport.cancellationOfUnknown(placer, attempt));
            return;
        }
        boolean ran = task.hasStarted();
        task.cancel();
        remove(now, task, !ran);
        reports.accept(task.report(Answer.Kind.WITHDRAWN, Answer.Reason.NONE, ran));
        tick(now, reports);
    }

    // ---- progress of time ----

    /** Does everything that is due; may be called at any time, and must be at {@link #nextTick}. */
    void tick(long now, Consumer<AttemptReport> reports) {
        if (crashed) {
            return;
        }
        decideDueOffers(now, reports);
        advanceDueTasks(now, reports);
        while (!pendingStarts.isEmpty() && startingTasks < behavior.concurrentStarts()) {
            start(now, pendingStarts.poll());
        }
        if (resources.isOutOfMemory()) {
            evictNewest(now, tasks.size(), () -> !resources.isOutOfMemory(), reports);
        }
        reportUsageIfDue(now, reports);
    }

    /** When {@link #tick} next has something to do; Long.MAX_VALUE for never. */
    long nextTick() {
        long next = offers.nextDecisionMicros();
        for (EmulatedTask task : tasks.values()) {
            if (task.hasStarted()) {
                next = Math.min(next, task.deadlineMicros());
            }
        }
        boolean reportsUsage = behavior.usageReportMicros() > 0 && !tasks.isEmpty();
        return reportsUsage ? Math.min(next, nextUsageReportMicros) : next;
    }

    private void decideDueOffers(long now, Consumer<AttemptReport> reports) {
        EmulatedTask offered = offers.pollDue(now);
        while (offered != null) {
            decide(now, offered, reports);
            offered = offers.pollDue(now);
        }
    }

    private void advanceDueTasks(long now, Consumer<AttemptReport> reports) {
        List<EmulatedTask> due =
                tasks.values().stream()
                        .filter(task -> task.hasStarted() && task.deadlineMicros() <= now)
                        .toList();
        for (EmulatedTask task : due) {
            if (task.state() == EmulatedTask.State.STARTING) {
                run(now, task, reports);
            } else {
                remove(now, task, false);
                reports.accept(task.report(Answer.Kind.ENDED, Answer.Reason.NONE, true));
            }
        }
    }

    private void start(long now, EmulatedTask task) {
        startingTasks++;
        boolean programPresent = programs.acquire(task.task().getService());
        double startMicros =
                behavior.startMicros()
                        * (programPresent ? 1 : behavior.coldProgramFactor())
                        / slowStart.pace(now);
        task.start(now + (long) startMicros);
    }

    private void run(long now, EmulatedTask task, Consumer<AttemptReport> reports) {
        startingTasks--;
        double usageFraction =
                behavior.minUsageFraction()
                        + random.nextDouble()
                                * (behavior.maxUsageFraction() - behavior.minUsageFraction());
        long runMicros =
                task.task().getRunsForMs() > 0
                        ? task.task().getRunsForMs() * MICROS_PER_MILLI
                        : behavior.defaultRunMicros();
        task.run(usageFraction, now + runMicros);
        resources.useMemory(task.memoryUsed());
        reports.accept(task.report(Answer.Kind.RUNS, Answer.Reason.NONE, true));
    }

    private void reportUsageIfDue(long now, Consumer<AttemptReport> reports) {
        if (behavior.usageReportMicros() <= 0 || now < nextUsageReportMicros) {
            return;
        }
        nextUsageReportMicros = now + behavior.usageReportMicros();
        tasks.values().stream()
                .filter(EmulatedTask::isRunning)
                .map(task -> task.report(Answer.Kind.USES, Answer.Reason.NONE, true))
                .forEach(reports);
    }

    /**
     * Evicts the running tasks among the newest attempts, newest first.
     *
     * @param maxAttempts number of newest attempts that are considered
     * @param done stops the eviction once it is true
     */
    private void evictNewest(
            long now, int maxAttempts, BooleanSupplier done, Consumer<AttemptReport> reports) {
        List<EmulatedTask> candidates = new ArrayList<>(tasks.values());
        int oldest = Math.max(0, candidates.size() - maxAttempts);
        for (int i = candidates.size() - 1; i >= oldest && !done.getAsBoolean(); i--) {
            EmulatedTask task = candidates.get(i);
            if (task.isRunning()) {
                remove(now, task, false);
                reports.accept(task.report(Answer.Kind.EVICTED, Answer.Reason.NONE, true));
            }
        }
    }

    /** Removes an attempt and frees what it occupied; its key only if it never ran. */
    private void remove(long now, EmulatedTask task, boolean neverRan) {
        tasks.remove(task.attempt());
        if (task.state() == EmulatedTask.State.OFFERED) {
            offers.remove(now, task);
            return;
        }
        pendingStarts.remove(task);
        resources.release(task.task());
        if (task.isRunning()) {
            resources.freeMemory(task.memoryUsed());
        }
        if (task.hasStarted()) {
            programs.release(task.task().getService());
        }
        if (task.state() == EmulatedTask.State.STARTING) {
            startingTasks--;
        }
        if (neverRan && !task.task().getKey().isEmpty()) {
            keys.release(zoneKey(task.task()), task.attempt());
        }
    }

    // ---- drain and fault injection ----

    /** Starts or ends a drain; its start removes all attempts at once. */
    void drain(long now, boolean on, Consumer<AttemptReport> reports) {
        draining = on;
        if (!on) {
            return;
        }
        for (EmulatedTask task : new ArrayList<>(tasks.values())) {
            boolean offered = task.state() == EmulatedTask.State.OFFERED;
            boolean ran = task.hasStarted();
            remove(now, task, !ran);
            reports.accept(
                    offered
                            ? task.report(Answer.Kind.REFUSED, Answer.Reason.DRAINING, ran)
                            : task.report(Answer.Kind.SENT_AWAY, Answer.Reason.NONE, ran));
        }
    }

    /** Makes the reports of new offers of one task class silent until the given time. */
    void mute(String taskClass, long untilMicros) {
        mutedUntilMicrosByClass.put(taskClass, untilMicros);
    }

    /** Evicts those of the newest attempts that run, as a wave of preemption would. */
    void preempt(long now, int maxAttempts, Consumer<AttemptReport> reports) {
        evictNewest(now, maxAttempts, () -> false, reports);
    }

    // ---- views for messages ----

    /** The load report of this moment. */
    Load load() {
        return Load.newBuilder()
                .setCoresFree(resources.freeCores())
                .setMemoryFree(resources.freeReservableMemory())
                .setWaiting(offers.size() + pendingStarts.size() + startingTasks)
                .build();
    }

    /** The attempts that a placer has on this node, for a registration. */
    List<Held> inventory(String placer) {
        return tasks.values().stream()
                .filter(task -> task.placer().equals(placer))
                .map(EmulatedTask::inventoryEntry)
                .toList();
    }
}
