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
 * An emulator of one incarnation of a node: accepts or rejects offers and emulates the start, run
 * and end of tasks. The emulator does no I/O and reads no clock; the same seed and the same calls
 * give the same reports. Times are microseconds. Each method that can change an attempt passes the
 * reports of its changes to a consumer, in order.
 */
final class NodeEmulator {
    /** The initial uptime of a warm node is this time plus ten times the duration of slow start. */
    private static final long WARM_UPTIME_MICROS = 3_600_000_000L;

    private static final int WARM_UPTIME_SLOW_STARTS = 10;
    private static final long MICROS_PER_MILLI = 1_000;

    private final NodeShape shape;
    private final NodeBehavior behavior;
    private final ZoneIdempotencyKeys keys;
    private final SplittableRandom random;
    private final long startedAtMicros;
    private final long incarnation;
    private final Map<String, EmulatedTask> taskByAttempt = new LinkedHashMap<>();
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
     * Creates an incarnation without tasks.
     *
     * @param keys idempotency keys of all zones
     * @param incarnation number greater than that of any former incarnation of the node
     * @param warm true to skip slow start, as if the node had been up for a long time
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

    /** Returns true if an overload in slow start has crashed the node; it makes no more reports. */
    boolean isCrashed() {
        return crashed;
    }

    boolean isDraining() {
        return draining;
    }

    /** Returns the number of attempts on the node: offered, accepted, starting or running. */
    int attemptCount() {
        return taskByAttempt.size();
    }

    // ---- offers and cancellations ----

    /** Queues or rejects an offer; a repeated offer of the same attempt is ignored. */
    void offer(long now, Offer offer, Consumer<AttemptReport> reports) {
        if (crashed || taskByAttempt.containsKey(offer.getAttempt())) {
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
            taskByAttempt.put(task.attempt(), task);
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

    /** Returns false if the task has an idempotency key that another attempt has claimed. */
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
        taskByAttempt.remove(task.attempt());
        reports.accept(task.report(Answer.Kind.REFUSED, reason, false));
    }

    /**
     * Cancels an attempt in any state; the cancellation of an unknown attempt is confirmed as well.
     */
    void cancel(long now, String placer, String attempt, Consumer<AttemptReport> reports) {
        EmulatedTask task = taskByAttempt.get(attempt);
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

    /**
     * Processes all due events; must be called at {@link #nextTick} and may be called at any time.
     */
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
            evictNewest(now, taskByAttempt.size(), () -> !resources.isOutOfMemory(), reports);
        }
        reportUsageIfDue(now, reports);
    }

    /** Returns when the next event is due for {@link #tick}; {@code Long.MAX_VALUE} for never. */
    long nextTick() {
        long nextMicros = offers.nextDecisionMicros();
        for (EmulatedTask task : taskByAttempt.values()) {
            if (task.hasStarted()) {
                nextMicros = Math.min(nextMicros, task.deadlineMicros());
            }
        }
        boolean reportsUsage = behavior.usageReportMicros() > 0 && !taskByAttempt.isEmpty();
        return reportsUsage ? Math.min(nextMicros, nextUsageReportMicros) : nextMicros;
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
                taskByAttempt.values().stream()
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
        taskByAttempt.values().stream()
                .filter(EmulatedTask::isRunning)
                .map(task -> task.report(Answer.Kind.USES, Answer.Reason.NONE, true))
                .forEach(reports);
    }

    /**
     * Evicts the running tasks among the newest attempts, newest first.
     *
     * @param maxAttempts number of newest attempts that are considered
     * @param done checked before each attempt; true ends the eviction
     */
    private void evictNewest(
            long now, int maxAttempts, BooleanSupplier done, Consumer<AttemptReport> reports) {
        List<EmulatedTask> candidates = new ArrayList<>(taskByAttempt.values());
        int oldest = Math.max(0, candidates.size() - maxAttempts);
        for (int i = candidates.size() - 1; i >= oldest && !done.getAsBoolean(); i--) {
            EmulatedTask task = candidates.get(i);
            if (task.isRunning()) {
                remove(now, task, false);
                reports.accept(task.report(Answer.Kind.EVICTED, Answer.Reason.NONE, true));
            }
        }
    }

    /** Removes an attempt and frees its resources; its key is released only if it never ran. */
    private void remove(long now, EmulatedTask task, boolean neverRan) {
        taskByAttempt.remove(task.attempt());
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

    /** Starts or ends a drain; the start of a drain removes all attempts immediately. */
    void drain(long now, boolean on, Consumer<AttemptReport> reports) {
        draining = on;
        if (!on) {
            return;
        }
        for (EmulatedTask task : new ArrayList<>(taskByAttempt.values())) {
            boolean offered = task.state() == EmulatedTask.State.OFFERED;
            boolean ran = task.hasStarted();
            remove(now, task, !ran);
            reports.accept(
                    offered
                            ? task.report(Answer.Kind.REFUSED, Answer.Reason.DRAINING, ran)
                            : task.report(Answer.Kind.SENT_AWAY, Answer.Reason.NONE, ran));
        }
    }

    /** Mutes the reports of attempts of one task class that are offered before the given time. */
    void mute(String taskClass, long untilMicros) {
        mutedUntilMicrosByClass.put(taskClass, untilMicros);
    }

    /** Evicts the running tasks among the newest attempts, as a series of preemptions would. */
    void preempt(long now, int maxAttempts, Consumer<AttemptReport> reports) {
        evictNewest(now, maxAttempts, () -> false, reports);
    }

    // ---- contents of messages ----

    /** Returns the current load report. */
    Load load() {
        return Load.newBuilder()
                .setCoresFree(resources.freeCores())
                .setMemoryFree(resources.freeReservableMemory())
                .setWaiting(offers.size() + pendingStarts.size() + startingTasks)
                .build();
    }

    /** Returns the attempts of a placer on this node, for a registration. */
    List<Held> inventory(String placer) {
        return taskByAttempt.values().stream()
                .filter(task -> task.placer().equals(placer))
                .map(EmulatedTask::inventoryEntry)
                .toList();
    }
}
