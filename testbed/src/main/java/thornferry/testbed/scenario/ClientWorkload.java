package thornferry.testbed.scenario;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import thornferry.client.TaskClient;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/**
 * The clients of one placer: they submit streams of tasks, retry after a rejection or a loss,
 * restart services and disconnect. Everything runs on one event loop, except the first draw of
 * {@link #disconnectRepeatedly}; methods may be called from any thread.
 */
final class ClientWorkload implements AutoCloseable {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double SIZE_STEP = 0.25;

    /** Attempts of a task that replaces a stopped one. */
    private static final int RESTARTED_TASK_ATTEMPTS = 3;

    /** Tasks that replace stopped ones are submitted within this time. */
    private static final int RESTART_SPREAD_MILLIS = 1_000;

    private static final int MIN_LOSS_BACKOFF_MILLIS = 1_000;
    private static final int LOSS_BACKOFF_SPREAD_MILLIS = 1_000;

    // Words of the protocol for results and events.
    private static final String RESULT_PLACED = "placed";
    private static final String RESULT_REJECTED = "refused";
    private static final String EVENT_ENDED = "ended";
    private static final String EVENT_EVICTED = "evicted";
    private static final String EVENT_MIGRATED = "moved";
    private static final String EVENT_LOST = "lost";

    /** A task of one client, with the attempts that it has left. */
    private static final class SubmittedTask {
        final Task task;
        final int client;
        int attemptsLeft;

        SubmittedTask(Task task, int client, int attemptsLeft) {
            this.task = task;
            this.client = client;
            this.attemptsLeft = attemptsLeft;
        }

        String id() {
            return task.getId();
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<TaskClient> clients = new ArrayList<>();
    private final Map<String, SubmittedTask> placedTasks = new HashMap<>();
    private final Set<String> nonIdempotentClasses;
    private final String taskIdPrefix;
    private final WorkloadCounters counters = new WorkloadCounters();
    private long lastTaskNumber;
    private boolean stopped;

    /**
     * Connects the clients.
     *
     * @param targets one for each client
     * @param nonIdempotentClasses whose tasks are never retried after a loss nor restarted
     */
    ClientWorkload(
            EventLoop loop,
            List<ClientConnection.Target> targets,
            Set<String> nonIdempotentClasses,
            String taskIdPrefix,
            long seed) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.nonIdempotentClasses = Set.copyOf(nonIdempotentClasses);
        this.taskIdPrefix = taskIdPrefix;
        for (ClientConnection.Target target : targets) {
            clients.add(TaskClient.connect(target, loop, this::taskEvent));
        }
    }

    // ---- traffic ----

    /**
     * Submits tasks of a stream until {@link #stopSubmitting}.
     *
     * @param rateFactor multiplies the rate of the stream; read for each task
     */
    void startStream(TrafficStream stream, DoubleSupplier rateFactor) {
        loop.execute(() -> scheduleNextTask(stream, rateFactor));
    }

    private void scheduleNextTask(TrafficStream stream, DoubleSupplier rateFactor) {
        if (stopped) {
            return;
        }
        double tasksPerSecond = stream.tasksPerSecond() * rateFactor.getAsDouble();
        long delayMicros = (long) (drawExponential() / tasksPerSecond * MICROS_PER_SECOND);
        loop.schedule(
                () -> {
                    if (!stopped) {
                        submitNewTask(stream);
                        scheduleNextTask(stream, rateFactor);
                    }
                },
                delayMicros,
                TimeUnit.MICROSECONDS);
    }

    /** Draws from the exponential distribution with mean 1. */
    private double drawExponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private void submitNewTask(TrafficStream stream) {
        Task task = drawTask(stream);
        int client = random.nextInt(clients.size());
        counters.tasks.incrementAndGet();
        submit(new SubmittedTask(task, client, stream.maxAttempts()));
    }

    private Task drawTask(TrafficStream stream) {
        String id = newTaskId();
        Task.Builder task =
                Task.newBuilder()
                        .setId(id)
                        .setTaskClass(stream.taskClass())
                        .setKey(keyOf(id))
                        .setService(
                                stream.taskClass() + "-" + random.nextInt(stream.serviceCount()))
                        .setCores(drawSize(stream.cores()))
                        .setMemory(drawSize(stream.memory()))
                        .setRunsForMs((long) stream.runMillis().draw(random));
        stream.maxWaitMillis().ifPresent(task::setPatienceMs);
        return task.build();
    }

    /** Draws a size that is a multiple of the step and greater than 0. */
    private double drawSize(UniformRange range) {
        long steps = Math.round(range.draw(random) / SIZE_STEP);
        return steps * SIZE_STEP + SIZE_STEP;
    }

    private String newTaskId() {
        lastTaskNumber++;
        return taskIdPrefix + lastTaskNumber;
    }

    /** The idempotency key of a task. */
    private static String keyOf(String taskId) {
        return "key-" + taskId;
    }

    /** Ends all streams and retries. */
    void stopSubmitting() {
        loop.submit(() -> stopped = true).syncUninterruptibly();
    }

    // ---- requests and retries ----

    private void submit(SubmittedTask submitted) {
        counters.requests.incrementAndGet();
        submitted.attemptsLeft--;
        clients.get(submitted.client)
                .submit(submitted.task)
                .whenCompleteAsync(
                        (result, error) -> {
                            if (error == null) {
                                resultReceived(submitted, result);
                            } else {
                                counters.unanswered.incrementAndGet();
                            }
                        },
                        loop);
    }

    private void resultReceived(SubmittedTask submitted, TaskNews result) {
        switch (result.getResult()) {
            case RESULT_PLACED -> {
                counters.placed.incrementAndGet();
                placedTasks.put(submitted.id(), submitted);
            }
            case RESULT_REJECTED -> {
                counters.rejected.incrementAndGet();
                retry(submitted, Math.max(1, result.getRetryAfterMs()));
            }
            default -> counters.failed.incrementAndGet();
        }
    }

    private void retry(SubmittedTask submitted, long delayMillis) {
        if (submitted.attemptsLeft > 0 && !stopped) {
            loop.schedule(
                    () -> {
                        if (!stopped) {
                            submit(submitted);
                        }
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** A placed task has ended, for whatever cause. */
    private void taskEvent(TaskNews news) {
        SubmittedTask submitted = placedTasks.remove(news.getTask());
        switch (news.getEvent()) {
            case EVENT_ENDED -> counters.ended.incrementAndGet();
            case EVENT_EVICTED, EVENT_MIGRATED -> {
                counters.evicted.incrementAndGet();
                retryAfterLoss(submitted);
            }
            case EVENT_LOST -> {
                counters.lost.incrementAndGet();
                retryAfterLoss(submitted);
            }
            default -> {
                // the other events have no effect on the workload
            }
        }
    }

    /**
     * @param submitted null if the task is not known as placed, as after a repeated event
     */
    private void retryAfterLoss(SubmittedTask submitted) {
        if (submitted != null && mayRunAgain(submitted)) {
            retry(submitted, MIN_LOSS_BACKOFF_MILLIS + random.nextInt(LOSS_BACKOFF_SPREAD_MILLIS));
        }
    }

    private boolean mayRunAgain(SubmittedTask submitted) {
        return !nonIdempotentClasses.contains(submitted.task.getTaskClass());
    }

    // ---- faults ----

    /** Stops a fraction of the placed tasks and submits as many new ones within a second. */
    void restartServices(double fraction) {
        loop.execute(
                () -> {
                    for (SubmittedTask submitted : List.copyOf(placedTasks.values())) {
                        if (random.nextDouble() < fraction && mayRunAgain(submitted)) {
                            restart(submitted);
                        }
                    }
                });
    }

    private void restart(SubmittedTask submitted) {
        clients.get(submitted.client).stop(submitted.id());
        String id = newTaskId();
        Task task = submitted.task.toBuilder().setId(id).setKey(keyOf(id)).build();
        counters.tasks.incrementAndGet();
        loop.schedule(
                () -> submit(new SubmittedTask(task, submitted.client, RESTARTED_TASK_ATTEMPTS)),
                random.nextInt(RESTART_SPREAD_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    /** Breaks the connections of a fraction of the clients, which reconnect after a time. */
    void disconnectFraction(double fraction, long awayMillis) {
        loop.execute(
                () -> {
                    for (TaskClient client : clients) {
                        if (random.nextDouble() < fraction) {
                            client.vanish(awayMillis);
                        }
                    }
                });
    }

    /** Disconnects one random client, again and again until {@link #stopSubmitting}. */
    void disconnectRepeatedly(double meanIntervalSeconds, long awayMillis) {
        loop.schedule(
                () -> {
                    if (!stopped) {
                        clients.get(random.nextInt(clients.size())).vanish(awayMillis);
                        disconnectRepeatedly(meanIntervalSeconds, awayMillis);
                    }
                },
                (long) (drawExponential() * meanIntervalSeconds * MICROS_PER_SECOND),
                TimeUnit.MICROSECONDS);
    }

    // ---- end ----

    WorkloadTotals totals() {
        return counters.totals();
    }

    @Override
    public void close() {
        clients.forEach(TaskClient::close);
    }
}
