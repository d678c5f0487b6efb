package thornferry.testbed.scenario;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import thornferry.client.TaskClient;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/**
 * Those who ask, for one placer: a few clients, each an owner of its own, that ask for tasks, ask
 * again after a refusal or a loss, stop services and vanish. All on one event loop.
 */
final class ClientWorkload {
    /** What became of the asks; for a report. */
    record Tally(
            long tasks,
            long placed,
            long refused,
            long failed,
            long unanswered,
            long asked,
            long ended,
            long evicted,
            long lost) {}

    private static final class SubmittedTask {
        final Task task;
        final int client;
        int asksLeft;

        SubmittedTask(Task task, int client, int asksLeft) {
            this.task = task;
            this.client = client;
            this.asksLeft = asksLeft;
        }
    }

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<TaskClient> clients = new ArrayList<>();
    private final Map<String, SubmittedTask> placed = new HashMap<>();
    private final Set<String> unsafe;
    private final String prefix;
    private long number;
    private boolean over;
    private final AtomicLong tasks = new AtomicLong();
    private final AtomicLong placedCount = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong ended = new AtomicLong();
    private final AtomicLong evicted = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();

    ClientWorkload(
            EventLoop loop,
            List<ClientConnection.Target> targets,
            Set<String> unsafe,
            String prefix,
            long seed) {
        this.loop = loop;
        this.random = new SplittableRandom(seed);
        this.unsafe = new HashSet<>(unsafe);
        this.prefix = prefix;
        for (ClientConnection.Target target : targets) {
            clients.add(TaskClient.connect(target, loop, this::happened));
        }
    }

    /**
     * Starts one stream of asks, until {@link #end}; {@code rate} tells how many a second at this
     * moment.
     */
    void stream(ScenarioFile.Traffic t, java.util.function.DoubleSupplier rate) {
        loop.execute(() -> next(t, rate));
    }

    private void next(ScenarioFile.Traffic t, java.util.function.DoubleSupplier rate) {
        if (over) {
            return;
        }
        double perSecond = t.perSecond() * rate.getAsDouble();
        long wait = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6);
        loop.schedule(
                () -> {
                    if (!over) {
                        ask(t);
                        next(t, rate);
                    }
                },
                wait,
                TimeUnit.MICROSECONDS);
    }

    private double between(double least, double most) {
        return least + random.nextDouble() * (most - least);
    }

    private void ask(ScenarioFile.Traffic t) {
        String id = prefix + ++number;
        Task.Builder task =
                Task.newBuilder()
                        .setId(id)
                        .setTaskClass(t.taskClass())
                        .setKey("key-" + id)
                        .setService(t.taskClass() + "-" + random.nextInt(t.services()))
                        .setCores(
                                Math.round(4 * between(t.coresLeast(), t.coresMost())) / 4.0 + 0.25)
                        .setMemory(
                                Math.round(4 * between(t.memoryLeast(), t.memoryMost())) / 4.0
                                        + 0.25)
                        .setRunsForMs((long) between(t.runsLeast(), t.runsMost()));
        if (t.patience() != null) {
            task.setPatienceMs(t.patience());
        }
        tasks.incrementAndGet();
        submit(new SubmittedTask(task.build(), random.nextInt(clients.size()), t.asks()));
    }

    private void submit(SubmittedTask wish) {
        asked.incrementAndGet();
        wish.asksLeft--;
        clients.get(wish.client)
                .submit(wish.task)
                .whenCompleteAsync(
                        (news, e) -> {
                            if (e != null) {
                                unanswered.incrementAndGet();
                                return;
                            }
                            switch (news.getResult()) {
                                case "placed" -> {
                                    placedCount.incrementAndGet();
                                    placed.put(wish.task.getId(), wish);
                                }
                                case "refused" -> {
                                    refused.incrementAndGet();
                                    again(wish, Math.max(1, news.getRetryAfterMs()));
                                }
                                default -> failed.incrementAndGet();
                            }
                        },
                        loop);
    }

    private void again(SubmittedTask wish, long millis) {
        if (wish.asksLeft > 0 && !over) {
            loop.schedule(
                    () -> {
                        if (!over) {
                            submit(wish);
                        }
                    },
                    millis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void happened(TaskNews news) {
        SubmittedTask wish = placed.remove(news.getTask());
        switch (news.getEvent()) {
            case "ended" -> ended.incrementAndGet();
            case "evicted", "lost", "moved" -> {
                (news.getEvent().equals("lost") ? lost : evicted).incrementAndGet();
                if (wish != null && !unsafe.contains(wish.task.getTaskClass())) {
                    again(wish, 1_000 + random.nextInt(1_000));
                }
            }
            default -> {}
        }
    }

    /** Stops a part of the placed tasks and asks for as many anew, all within a second. */
    void restartServices(double part) {
        loop.execute(
                () -> {
                    for (SubmittedTask wish : List.copyOf(placed.values())) {
                        if (random.nextDouble() < part
                                && !unsafe.contains(wish.task.getTaskClass())) {
                            clients.get(wish.client).stop(wish.task.getId());
                            String id = prefix + ++number;
                            tasks.incrementAndGet();
                            Task anew = wish.task.toBuilder().setId(id).setKey("key-" + id).build();
                            loop.schedule(
                                    () -> submit(new SubmittedTask(anew, wish.client, 3)),
                                    random.nextInt(1_000),
                                    TimeUnit.MILLISECONDS);
                        }
                    }
                });
    }

    void vanish(double part, long awayMs) {
        loop.execute(
                () ->
                        clients.forEach(
                                c -> {
                                    if (random.nextDouble() < part) {
                                        c.vanish(awayMs);
                                    }
                                }));
    }

    /** One client vanishes every so often, at random. */
    void vanishEvery(double seconds, long awayMs) {
        loop.schedule(
                () -> {
                    if (!over) {
                        clients.get(random.nextInt(clients.size())).vanish(awayMs);
                        vanishEvery(seconds, awayMs);
                    }
                },
                (long) (-Math.log(1 - random.nextDouble()) * seconds * 1e6),
                TimeUnit.MICROSECONDS);
    }

    /** No new asks from now on. */
    void end() {
        loop.submit(() -> over = true).syncUninterruptibly();
    }

    void close() {
        clients.forEach(TaskClient::close);
    }

    Tally tally() {
        return new Tally(
                tasks.get(),
                placedCount.get(),
                refused.get(),
                failed.get(),
                unanswered.get(),
                asked.get(),
                ended.get(),
                evicted.get(),
                lost.get());
    }
}
