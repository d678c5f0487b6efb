package thornferry.testbed.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.client.TaskClient;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Placer;
import thornferry.placer.Site;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Task;

/**
 * More asked for than can be placed, with the waiting line on and off: owners of three tenants that
 * ask alike, though their shares are not alike, and ask again when refused. One placer and stand-in
 * nodes in this process, bounded in time.
 */
public final class OverloadExperiment {
    /** A tenant and what it is entitled to. */
    public record Tenant(String name, String owner, double share) {}

    /**
     * What one run came to. Worth and core seconds are of tasks placed within the measured time,
     * latencies of every answer, microseconds. {@code early} answers of refusals within half of
     * patience, {@code late} after nine tenths of it.
     */
    public record Outcome(
            double load,
            boolean line,
            long asked,
            long placed,
            double worthPerSecond,
            double jain,
            double[] servedOfEntitled,
            long p99,
            long early,
            long late,
            long unanswered) {}

    /**
     * Seconds from a storm of {@code tasks} until a second passes in which fresh tasks are served
     * as before it.
     */
    public record Recovery(boolean line, int tasks, double seconds, List<double[]> placedInTime) {}

    private static final long PATIENCE_MS = 4_000;
    private static final int ASKS = 4;
    private static final double IN_TIME_MS = 1_000;
    private static final String[] HALLS = {"hall-a", "hall-b", "hall-c"};

    private final Site site;
    private final List<Tenant> tenants;
    private final int nodes;
    private final Placement.MachineKind kind;
    private final double cores;

    /**
     * @param site with an owner account for each tenant, passcode {@code load}, and an agent {@code
     *     load-node}
     */
    public OverloadExperiment(Site site, List<Tenant> tenants, int nodes) {
        this.site = site;
        this.tenants = tenants;
        this.nodes = nodes;
        this.kind = site.placement().machineKinds().get(0);
        this.cores = kind.cores();
    }

    /** One run's sums; touched by its event loop alone. */
    private static final class Sums {
        final double[] served;
        final Histogram answers = new Histogram(TimeUnit.MINUTES.toMicros(5), 3);
        long asked;
        long placed;
        double worth;
        long early;
        long late;
        long unanswered;
        long inTime; // placed within a second of its first ask

        Sums(int tenants) {
            served = new double[tenants];
        }
    }

    /** Placer, nodes and clients of one run. */
    private final class Stage implements AutoCloseable {
        final MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        final EventLoop loop = loops.next();
        final Placer placer;
        final AgentPool pool = new AgentPool(2);
        final List<TaskClient> clients = new ArrayList<>();
        final SplittableRandom random = new SplittableRandom(5);
        Sums sums = new Sums(tenants.size());
        long number;

        Stage(Site on) throws Exception {
            placer = Placer.start(on, "127.0.0.1", 0, 1);
            List<SocketAddress> address = List.of(placer.addresses().get(0));
            NodeBehavior b = NodeBehavior.usual(Map.of("depot-sync", 5_000_000L));
            NodeBehavior quick =
                    new NodeBehavior(
                            500,
                            1_500,
                            64,
                            64,
                            5_000,
                            2,
                            8,
                            0,
                            1,
                            1e9,
                            1_000_000,
                            Integer.MAX_VALUE,
                            0.5,
                            0.9,
                            b.defaultRunMicros(),
                            0,
                            b.keyWindowMicrosByClass());
            for (int i = 0; i < nodes; i++) {
                pool.add(
                        new NodeShape(
                                "n" + i,
                                kind.name(),
                                HALLS[i % HALLS.length],
                                i,
                                cores,
                                kind.memory()),
                        quick,
                        new PlacerLogin(address, "load-node", "load", new Heartbeat(2_000, 2_000)),
                        i,
                        NodeAgent.Watcher.NONE);
            }
            for (Tenant t : tenants) {
                clients.add(
                        TaskClient.connect(
                                new ClientConnection.Target(
                                        address.get(0),
                                        t.owner(),
                                        "load",
                                        new Heartbeat(2_000, 2_000)),
                                loop,
                                event -> {}));
            }
            Thread.sleep(2_000);
        }

        /**
         * Seven of ten gauge-relay (1 core, worth 1), the rest depot-sync (2 cores, worth 5); 1.5 s
         * to 2.5 s each.
         */
        void ask(int tenant) {
            boolean dear = random.nextDouble() < 0.3;
            String id = "v" + ++number;
            double asks = dear ? 2 : 1;
            long runs = 1_500 + random.nextInt(1_000);
            Task task =
                    Task.newBuilder()
                            .setId(id)
                            .setTaskClass(dear ? "depot-sync" : "gauge-relay")
                            .setService("s" + random.nextInt(8))
                            .setKey("k" + id)
                            .setCores(asks)
                            .setMemory(asks)
                            .setRunsForMs(runs)
                            .setPatienceMs(PATIENCE_MS)
                            .build();
            sums.asked++;
            ask(sums, tenant, task, dear ? 5 : 1, asks * runs / 1_000, ASKS);
        }

        private void ask(
                Sums to, int tenant, Task task, double worth, double coreSeconds, int left) {
            long begin = System.nanoTime();
            clients.get(tenant)
                    .submit(task)
                    .whenCompleteAsync(
                            (news, e) -> {
                                long micros = (System.nanoTime() - begin) / 1_000;
                                if (e != null) {
                                    to.unanswered++;
                                    return;
                                }
                                to.answers.recordValue(micros);
                                if (news.getResult().equals("placed")) {
                                    to.inTime +=
                                            left == ASKS && micros <= IN_TIME_MS * 1_000 ? 1 : 0;
                                    Sums now = sums; // what is placed counts when it is placed, not
                                    // when it was asked for
                                    now.placed++;
                                    now.worth += worth;
                                    now.served[tenant] += coreSeconds;
                                } else if (news.getResult().equals("refused")) {
                                    to.early += micros < PATIENCE_MS * 500 ? 1 : 0;
                                    to.late += micros >= PATIENCE_MS * 900 ? 1 : 0;
                                    if (left > 1) {
                                        loop.schedule(
                                                () ->
                                                        ask(
                                                                to,
                                                                tenant,
                                                                task,
                                                                worth,
                                                                coreSeconds,
                                                                left - 1),
                                                Math.max(1, news.getRetryAfterMs()),
                                                TimeUnit.MILLISECONDS);
                                    }
                                }
                            },
                            loop);
        }

        /** Open-loop: tasks come at their times whatever becomes of them. */
        void offer(double perSecond, double seconds) throws InterruptedException {
            long begin = System.nanoTime();
            double next = 0;
            int turn = 0;
            while (next < seconds) {
                double now = (System.nanoTime() - begin) / 1e9;
                for (;
                        next <= now && next < seconds;
                        next += -Math.log(1 - random.nextDouble()) / perSecond) {
                    int tenant = turn++ % tenants.size();
                    loop.submit(() -> ask(tenant)).syncUninterruptibly();
                }
                Thread.sleep(1);
            }
        }

        @Override
        public void close() {
            clients.forEach(TaskClient::close);
            pool.close();
            placer.close();
            loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /**
     * Tasks a second that the nodes bear when all their cores are asked for: 1.3 cores for 2 s
     * each.
     */
    public double borne() {
        return nodes * cores / (1.3 * 2);
    }

    /**
     * @param load as a multiple of {@link #borne}
     */
    public Outcome run(double load, boolean line, int seconds) throws Exception {
        try (Stage stage = new Stage(line ? site : site.withoutLine())) {
            stage.offer(load * borne(), 5); // until the nodes are as full as they get
            Sums sums = new Sums(tenants.size());
            stage.loop.submit(() -> stage.sums = sums).syncUninterruptibly();
            stage.offer(load * borne(), seconds);
            Sums[] end = new Sums[1];
            double[] served =
                    stage.loop.submit(() -> sums.served.clone()).syncUninterruptibly().getNow();
            double worth = stage.loop.submit(() -> sums.worth).syncUninterruptibly().getNow();
            long placed = stage.loop.submit(() -> sums.placed).syncUninterruptibly().getNow();
            Thread.sleep(
                    PATIENCE_MS
                            + 2_500); // every answer is in; those asked for again are not counted
            // as open
            stage.loop.submit(() -> end[0] = sums).syncUninterruptibly();
            double[] ratio = ratios(served);
            return new Outcome(
                    load,
                    line,
                    end[0].asked,
                    placed,
                    worth / seconds,
                    jain(ratio),
                    ratio,
                    end[0].answers.getValueAtPercentile(99),
                    end[0].early,
                    end[0].late,
                    end[0].unanswered);
        }
    }

    /** What each tenant got of its entitled part of all that was served. */
    private double[] ratios(double[] served) {
        double sum = java.util.Arrays.stream(served).sum();
        double shares = tenants.stream().mapToDouble(Tenant::share).sum();
        double[] ratio = new double[served.length];
        for (int i = 0; i < served.length; i++) {
            ratio[i] = sum == 0 ? 0 : served[i] / sum / (tenants.get(i).share() / shares);
        }
        return ratio;
    }

    /** Jain's index: 1 where all get alike, 1/n where one gets all. */
    static double jain(double[] x) {
        double sum = java.util.Arrays.stream(x).sum();
        double squares = java.util.Arrays.stream(x).map(v -> v * v).sum();
        return squares == 0 ? 0 : sum * sum / (x.length * squares);
    }

    /** What became of large tasks among many small ones; {@code worthPerSecond} of all. */
    public record Large(boolean gather, int asked, int placed, double worthPerSecond) {}

    /**
     * At {@code load}, a large unsafe task (10 cores, worth 2, patience 8 s) every half second
     * beside the small ones.
     */
    public Large large(double load, boolean gather, int seconds) throws Exception {
        try (Stage stage =
                new Stage(gather ? site : site.withLine(site.admission().withoutReservations()))) {
            stage.offer(load * borne(), 5);
            Sums sums = new Sums(tenants.size());
            int[] placed = {0};
            int asked = 2 * seconds;
            stage.loop.submit(() -> stage.sums = sums).syncUninterruptibly();
            for (int i = 0; i < asked; i++) {
                Task large =
                        Task.newBuilder()
                                .setId("large" + i)
                                .setTaskClass("levy-run")
                                .setService("levy")
                                .setCores(10)
                                .setMemory(20)
                                .setRunsForMs(3_000)
                                .setPatienceMs(8_000)
                                .build();
                stage.loop.schedule(
                        () ->
                                stage.clients
                                        .get(1)
                                        .submit(large)
                                        .whenCompleteAsync(
                                                (news, e) -> {
                                                    if (e == null
                                                            && news.getResult().equals("placed")) {
                                                        placed[0]++;
                                                        sums.worth += 2;
                                                    }
                                                },
                                                stage.loop),
                        i * 500L,
                        TimeUnit.MILLISECONDS);
            }
            stage.offer(load * borne(), seconds);
            double worth = stage.loop.submit(() -> sums.worth).syncUninterruptibly().getNow();
            Thread.sleep(9_000);
            return new Large(
                    gather,
                    asked,
                    stage.loop.submit(() -> placed[0]).syncUninterruptibly().getNow(),
                    worth / seconds);
        }
    }

    /**
     * At half of what is borne, {@code tasks} come in one moment; how long until fresh tasks are
     * served as before.
     */
    public Recovery storm(boolean line, int tasks, int seconds) throws Exception {
        try (Stage stage = new Stage(line ? site : site.withoutLine())) {
            double rate = 0.5 * borne();
            List<double[]> series = new ArrayList<>();
            stage.offer(rate, 5);
            stage.loop
                    .submit(
                            () -> {
                                for (int i = 0; i < tasks; i++) {
                                    stage.ask(i % tenants.size());
                                }
                            })
                    .syncUninterruptibly();
            long begin = System.nanoTime();
            double recovered = -1;
            for (int s = 0; s < seconds; s++) {
                Sums fresh = new Sums(tenants.size());
                double at = (System.nanoTime() - begin) / 1e9;
                stage.loop.submit(() -> stage.sums = fresh).syncUninterruptibly();
                stage.offer(rate, 1);
                Sums judged = fresh;
                double[] point = {at, 0};
                series.add(point);
                stage.loop.schedule(
                        () -> {
                            point[1] = judged.inTime / (double) Math.max(1, judged.asked);
                        },
                        (long) IN_TIME_MS,
                        TimeUnit.MILLISECONDS);
            }
            Thread.sleep((long) IN_TIME_MS + 500);
            for (int i = series.size() - 1; i >= 0 && series.get(i)[1] >= 0.95; i--) {
                recovered = series.get(i)[0];
            }
            return new Recovery(line, tasks, recovered, series);
        }
    }
}
