package thornferry.testbed.load;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.client.TaskClient;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.Task;

/**
 * Open-loop load on running placers: tasks are due at times fixed beforehand, and latency counts
 * from when a task was due, so that a placer that falls behind cannot slow down those who measure
 * it. Nodes are stand-ins of this process that answer at once; bounded in time.
 */
public final class LoadGenerator implements AutoCloseable {
    /**
     * @param nodes stand-in nodes to bring along; 0 where others run them
     * @param cores of each node, and {@code memory}, as the placers' configuration has them for
     *     {@code kind}
     * @param beatMs heart-beats of clients and nodes
     */
    public record Fleet(int nodes, String kind, double cores, double memory, int beatMs) {}

    /** Latencies are microseconds from when a task was due. Counts are of tasks. */
    public record Report(
            double rate,
            long asked,
            long placed,
            long refused,
            long failed,
            long unanswered,
            long excluded,
            Histogram toOffer,
            Histogram toPromisedOffer,
            Histogram toResult,
            long levyTwice,
            double seconds) {}

    private static final String[] HALLS = {"hall-a", "hall-b", "hall-c"};
    private static final int CLIENT_AWAY_MS = 300;

    private final List<TaskClient> clients = new ArrayList<>();
    private final long[] vanishedAt;
    private final MultiThreadIoEventLoopGroup loops;
    private final AgentPool pool = new AgentPool(2);
    private final Map<String, Due> due = new ConcurrentHashMap<>(); // by task, until it is offered
    private final Map<String, AtomicLong> levyStarts = new ConcurrentHashMap<>();
    private final Map<String, String> levyOf = new ConcurrentHashMap<>(); // attempt -> task
    private volatile ConcurrentHistogram toOffer = histogram();
    private volatile ConcurrentHistogram toPromisedOffer = histogram();
    private final SplittableRandom random = new SplittableRandom(1);
    private final double totalCores;
    private long number;

    /**
     * @param owners one client each, for the placers in turn
     */
    public LoadGenerator(
            List<SocketAddress> placers,
            List<String> owners,
            String passcode,
            String agent,
            Fleet fleet) {
        loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        Heartbeat beat = new Heartbeat(fleet.beatMs(), fleet.beatMs());
        NodeBehavior behaviour = NodeBehavior.instant(Map.of("depot-sync", 5_000_000L));
        for (int i = 0; i < fleet.nodes(); i++) {
            pool.add(
                    new NodeShape(
                            "n" + i,
                            fleet.kind(),
                            HALLS[i % HALLS.length],
                            i,
                            fleet.cores(),
                            fleet.memory()),
                    behaviour,
                    new PlacerLogin(placers, agent, passcode, beat),
                    i,
                    new Watch());
        }
        totalCores = fleet.cores() * Math.max(1, fleet.nodes());
        for (int i = 0; i < owners.size(); i++) {
            clients.add(
                    TaskClient.connect(
                            new ClientConnection.Target(
                                    placers.get(i % placers.size()), owners.get(i), passcode, beat),
                            loops.next(),
                            event -> {}));
        }
        vanishedAt = new long[clients.size()];
        java.util.Arrays.fill(vanishedAt, Long.MIN_VALUE / 2);
    }

    private record Due(long at, int client) {}

    /** Whether the client was away, or about to vanish, when a task of that time was in hand. */
    private boolean away(int client, long at) {
        return vanishedAt[client] + CLIENT_AWAY_MS * 2_000_000L > at;
    }

    private static ConcurrentHistogram histogram() {
        return new ConcurrentHistogram(TimeUnit.MINUTES.toMicros(10), 3);
    }

    private final class Watch implements NodeAgent.Watcher {
        @Override
        public void offered(String node, Order order) {
            if (order.hasOffer()) {
                String id = order.getOffer().getTask().getId();
                Due task = due.remove(id);
                if (task != null && !away(task.client(), task.at())) {
                    long micros = Math.max(0, (System.nanoTime() - task.at()) / 1_000);
                    toOffer.recordValue(micros);
                    if (order.getOffer().getEffect() != Effect.SAFE) {
                        toPromisedOffer.recordValue(micros);
                    }
                }
                if (order.getOffer().getTask().getTaskClass().equals("levy-run")) {
                    levyOf.put(order.getOffer().getAttempt(), id);
                }
            }
        }

        @Override
        public void said(String node, Answer answer) {
            String task =
                    answer.getKind() == Answer.Kind.RUNS ? levyOf.get(answer.getAttempt()) : null;
            if (task != null) {
                levyStarts.computeIfAbsent(task, t -> new AtomicLong()).incrementAndGet();
            }
        }
    }

    /**
     * One step of load.
     *
     * @param rate tasks a second, over all clients
     * @param vanishEvery a client drawn at random breaks off about so often, seconds; 0 for never.
     *     Tasks that were in hand then or asked for meanwhile are left out of the latencies and
     *     counted as excluded
     */
    public Report run(double rate, int seconds, double vanishEvery) throws InterruptedException {
        toOffer = histogram();
        toPromisedOffer = histogram();
        ConcurrentHistogram toResult = histogram();
        AtomicLong placed = new AtomicLong();
        AtomicLong refused = new AtomicLong();
        AtomicLong failed = new AtomicLong();
        AtomicLong unanswered = new AtomicLong();
        AtomicLong excluded = new AtomicLong();
        AtomicLong open = new AtomicLong();
        long asked = 0;
        // as long as half of the cores bear, so that room is not what is measured
        long runsFor = (long) Math.max(50, Math.min(10_000, 500 * totalCores / rate));
        long begin = System.nanoTime();
        long next = begin;
        long nextVanish = begin + exponential(vanishEvery);
        long end = begin + seconds * 1_000_000_000L;
        for (long now = begin; now < end; now = System.nanoTime()) {
            while (next <= now && next < end) {
                long at = next;
                int c = random.nextInt(clients.size());
                asked++;
                open.incrementAndGet();
                Task task = task(runsFor);
                due.put(task.getId(), new Due(at, c));
                clients.get(c)
                        .submit(task)
                        .whenComplete(
                                (news, e) -> {
                                    if (away(c, at)) {
                                        excluded.incrementAndGet();
                                    } else if (e == null) {
                                        toResult.recordValue(
                                                Math.max(0, (System.nanoTime() - at) / 1_000));
                                    }
                                    (e != null
                                                    ? unanswered
                                                    : news.getResult().equals("placed")
                                                            ? placed
                                                            : news.getResult().equals("refused")
                                                                    ? refused
                                                                    : failed)
                                            .incrementAndGet();
                                    open.decrementAndGet();
                                });
                next += exponential(1 / rate);
            }
            if (vanishEvery > 0 && nextVanish <= now) {
                int c = random.nextInt(clients.size());
                vanishedAt[c] = System.nanoTime();
                clients.get(c).vanish(CLIENT_AWAY_MS);
                nextVanish = now + exponential(vanishEvery);
            }
            LockSupport.parkNanos(100_000);
        }
        for (int i = 0; i < 150 && open.get() > 0; i++) {
            Thread.sleep(100);
        }
        double took = (System.nanoTime() - begin) / 1e9;
        long twice = levyStarts.values().stream().filter(n -> n.get() > 1).count();
        return new Report(
                rate,
                asked,
                placed.get(),
                refused.get(),
                failed.get(),
                unanswered.get() + open.get(),
                excluded.get(),
                toOffer,
                toPromisedOffer,
                toResult,
                twice,
                took);
    }

    /**
     * Asks for so many tasks that no node can ever take, and waits until they are with the placer.
     */
    public void fill(int tasks) throws InterruptedException {
        for (int i = 0; i < tasks; i++) {
            clients.get(i % clients.size())
                    .submit(
                            Task.newBuilder()
                                    .setId("w" + i)
                                    .setTaskClass("gauge-relay")
                                    .setService("s")
                                    .setCores(1_000)
                                    .setMemory(1)
                                    .setPatienceMs(600_000)
                                    .build());
            if (i % 200 == 199) {
                Thread.sleep(20);
            }
        }
        Thread.sleep(tasks == 0 ? 0 : 2_000);
    }

    private long exponential(double seconds) {
        return seconds <= 0
                ? Long.MAX_VALUE / 4
                : (long) (-Math.log(1 - random.nextDouble()) * seconds * 1e9);
    }

    /** Half gauge-relay, nearly half depot-sync, one in a hundred levy-run. */
    private Task task(long runsFor) {
        double draw = random.nextDouble();
        String cls = draw < 0.5 ? "gauge-relay" : draw < 0.99 ? "depot-sync" : "levy-run";
        String id = "l" + ++number;
        boolean large = cls.equals("levy-run");
        return Task.newBuilder()
                .setId(id)
                .setTaskClass(cls)
                .setService(cls + random.nextInt(8))
                .setKey("k" + id)
                .setCores(large ? 8 : 0.5 + 0.25 * random.nextInt(4))
                .setMemory(large ? 16 : 1 + random.nextInt(2))
                .setRunsForMs(large ? Math.min(2_000, 4 * runsFor) : runsFor)
                .build();
    }

    @Override
    public void close() {
        clients.forEach(TaskClient::close);
        pool.close();
        loops.shutdownGracefully(100, 2_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
