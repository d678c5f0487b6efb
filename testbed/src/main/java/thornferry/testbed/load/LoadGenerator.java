package thornferry.testbed.load;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import thornferry.agent.NodeBehavior;
import thornferry.protocol.v1.Task;

/**
 * Generates open-loop load on running placers: tasks are due at times drawn beforehand, and
 * latencies count from when a task was due. So a placer that falls behind cannot slow down the
 * generator, and its own delays are measured (no "coordinated omission"). The emulated nodes of
 * this process answer at once.
 */
public final class LoadGenerator implements AutoCloseable {
    private static final long SEED = 1;
    private static final int CLIENT_THREADS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    /** A delay longer than any step; added to a reading of the clock, it does not overflow. */
    private static final long NEVER_NANOS = Long.MAX_VALUE / 4;

    private static final long POLL_NANOS = 100_000;

    private static final int MAX_RESULT_POLLS = 150;
    private static final long RESULT_POLL_MILLIS = 100;

    private static final double TARGET_UTILIZATION = 0.5;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MIN_RUN_MILLIS = 50;
    private static final long MAX_RUN_MILLIS = 10_000;

    private static final int UNPLACEABLE_TASK_CORES = 1_000;
    private static final int UNPLACEABLE_TASK_MAX_WAIT_MILLIS = 600_000;
    private static final int UNPLACEABLE_BATCH_SIZE = 200;
    private static final long UNPLACEABLE_BATCH_PAUSE_MILLIS = 20;
    private static final long UNPLACEABLE_SETTLE_MILLIS = 2_000;

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(CLIENT_THREADS, NioIoHandler.newFactory());
    private final OfferObserver observer = new OfferObserver();
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final LoadTaskFactory tasks = new LoadTaskFactory(random);
    private final List<LoadClient> clients = new ArrayList<>();
    private final EmulatedNodes nodes;
    private final double totalCores;

    /** Connects nodes and clients, asynchronously. */
    public LoadGenerator(LoadTarget target, NodeFleet fleet) {
        NodeBehavior behavior = NodeBehavior.instant(TaskClasses.KEY_WINDOW_MICROS);
        nodes = new EmulatedNodes(fleet, behavior, target.nodeLogin(), observer);
        totalCores = fleet.totalCores();
        for (int i = 0; i < target.owners().size(); i++) {
            clients.add(new LoadClient(target.clientTarget(i), loops.next()));
        }
    }

    /**
     * Generates one step of load and waits for the results, for a limited time. Tasks of a client
     * whose connection breaks meanwhile are left out of the latencies.
     */
    public LoadReport run(LoadStep step) throws InterruptedException {
        StepMeasurement measurement = new StepMeasurement();
        observer.measureInto(measurement);
        generate(step, measurement);
        awaitResults(measurement);
        return measurement.report(step.tasksPerSecond(), observer.duplicateStarts());
    }

    private void generate(LoadStep step, StepMeasurement measurement) {
        long runMillis = runMillis(step.tasksPerSecond(), totalCores);
        long beginNanos = System.nanoTime();
        long endNanos = beginNanos + step.duration().toNanos();
        long nextTaskNanos = beginNanos;
        Optional<ConnectionBreaker> breaker = connectionBreaker(step, beginNanos);
        for (long now = beginNanos; now < endNanos; now = System.nanoTime()) {
            while (nextTaskNanos <= now && nextTaskNanos < endNanos) {
                submit(nextTaskNanos, runMillis, measurement);
                nextTaskNanos += drawDelayNanos(1 / step.tasksPerSecond());
            }
            if (breaker.isPresent()) {
                breaker.get().tick(now);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /**
     * Run time of a small task at which about half of the cores are used, so that free capacity is
     * not what limits the placer.
     */
    static long runMillis(double tasksPerSecond, double totalCores) {
        double runMillis = TARGET_UTILIZATION * MILLIS_PER_SECOND * totalCores / tasksPerSecond;
        return (long) Math.max(MIN_RUN_MILLIS, Math.min(MAX_RUN_MILLIS, runMillis));
    }

    private Optional<ConnectionBreaker> connectionBreaker(LoadStep step, long nowNanos) {
        if (step.meanVanishSeconds().isEmpty()) {
            return Optional.empty();
        }
        double meanSeconds = step.meanVanishSeconds().getAsDouble();
        return Optional.of(new ConnectionBreaker(clients, random, meanSeconds, nowNanos));
    }

    private void submit(long dueNanos, long runMillis, StepMeasurement measurement) {
        LoadClient client = clients.get(random.nextInt(clients.size()));
        Task task = tasks.next(runMillis);
        measurement.taskRequested();
        observer.taskDue(task.getId(), client, dueNanos);
        client.submit(task, dueNanos, measurement);
    }

    private long drawDelayNanos(double meanSeconds) {
        return meanSeconds <= 0
                ? NEVER_NANOS
                : (long) (ExponentialDistribution.draw(random) * meanSeconds * NANOS_PER_SECOND);
    }

    private static void awaitResults(StepMeasurement measurement) throws InterruptedException {
        for (int i = 0; i < MAX_RESULT_POLLS && measurement.hasOutstandingTasks(); i++) {
            Thread.sleep(RESULT_POLL_MILLIS);
        }
    }

    /** Requests tasks that fit no node, and waits until they are in the placer's queue. */
    public void queueUnplaceableTasks(int count) throws InterruptedException {
        if (count == 0) {
            return;
        }
        for (int i = 0; i < count; i++) {
            clients.get(i % clients.size()).submitUnmeasured(unplaceableTask(i));
            if (i % UNPLACEABLE_BATCH_SIZE == UNPLACEABLE_BATCH_SIZE - 1) {
                Thread.sleep(UNPLACEABLE_BATCH_PAUSE_MILLIS);
            }
        }
        Thread.sleep(UNPLACEABLE_SETTLE_MILLIS);
    }

    private static Task unplaceableTask(int number) {
        return Task.newBuilder()
                .setId("w" + number)
                .setTaskClass(TaskClasses.GAUGE_RELAY)
                .setService("s")
                .setCores(UNPLACEABLE_TASK_CORES)
                .setMemory(1)
                .setPatienceMs(UNPLACEABLE_TASK_MAX_WAIT_MILLIS)
                .build();
    }

    @Override
    public void close() {
        clients.forEach(LoadClient::close);
        nodes.close();
        loops.shutdownGracefully(100, 2_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
