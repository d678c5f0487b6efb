package thornferry.testbed.scenario;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Account;
import thornferry.placer.Placer;
import thornferry.placer.Site;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.v1.Drain;
import thornferry.security.Keys;
import thornferry.security.Passcodes;
import thornferry.security.Tls;
import thornferry.state.Durability;
import thornferry.testbed.audit.TraceAuditor;
import thornferry.testbed.capture.Capture;
import thornferry.testbed.capture.RecordingProxy;

/**
 * Plays a scripted day: placers in processes of their own, nodes and clients on loopback, a relay
 * on every connection, troubles at their times. Everything is recorded in a capture; whether the
 * rules held is the {@link TraceAuditor}'s to say.
 */
public final class ScenarioRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ScenarioRunner.class);
    private static final String AGENT = "day-agent";
    private static final String OPERATOR = "day-operator";
    private static final String PASSCODE = "day";
    private static final long KILL_AGAIN_MS = 200;

    /** Killed sooner after its start, a process would have done nothing worth a kill. */
    private static final long UP_LEAST_MS = 1_500;

    private final ScenarioFile file;
    private final Capture capture;
    private final Path work; // keys, and what placers keep over their kills
    private final SplittableRandom random;
    private final List<ChildProcess> placers = new ArrayList<>();
    private final List<ChildProcess> nodeProcesses = new ArrayList<>();
    private final ExecutorService starting = Executors.newCachedThreadPool();
    private final AtomicLong moduleFailures = new AtomicLong();
    private final List<RecordingProxy> relays = new ArrayList<>();
    private final List<ClientWorkload> owners = new ArrayList<>();
    private final ScheduledExecutorService script = Executors.newSingleThreadScheduledExecutor();
    private volatile double surge = 1;
    private Path keysFolder; // null for plain text
    private Site.TlsFiles tls; // likewise
    private SslContext trusting; // what peers use then

    private ScenarioRunner(ScenarioFile file, Capture capture, Path work) {
        this.file = file;
        this.work = work;
        this.capture = capture;
        this.random = new SplittableRandom(file.seed());
    }

    /** What the day came to, as its clients saw it. */
    public record Outcome(
            long tasks,
            long requests,
            long placed,
            long rejected,
            long failed,
            long unanswered,
            long ended,
            long evicted,
            long lost,
            long moduleFailures) {}

    /** Plays the whole day; takes as long as the file says. */
    public static Outcome play(ScenarioFile file, Path captureFile)
            throws IOException, InterruptedException {
        Path work = Files.createTempDirectory("thornferry-day");
        try (Capture capture = new Capture(captureFile)) {
            ScenarioRunner day = new ScenarioRunner(file, capture, work);
            if (file.tls()) {
                day.makeKeys(work.resolve("keys"));
            }
            return day.play();
        } finally {
            try (var all = Files.walk(work)) {
                all.sorted(java.util.Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
    }

    private void makeKeys(Path folder) throws IOException {
        Keys keys = new Keys(folder);
        keys.init("day", Duration.ofDays(1));
        keys.issue("placer", Keys.Use.SERVER, List.of("127.0.0.1"), Duration.ofDays(1));
        keysFolder = folder;
        tls = tls(folder);
        trusting = Tls.client(new Tls.Pem(null, null, keys.authority()));
    }

    private static Site.TlsFiles tls(Path folder) {
        Keys keys = new Keys(folder);
        return new Site.TlsFiles(
                new Tls.Pem(keys.certificate("placer"), keys.key("placer"), keys.authority()),
                Tls.Clients.NONE);
    }

    private Outcome play() throws IOException, InterruptedException {
        double startsPerSecond =
                file.fleets().stream()
                        .mapToDouble(
                                f ->
                                        f.behaviour().concurrentStarts()
                                                * 1e6
                                                / Math.max(
                                                        1,
                                                        f.behaviour().startMicros()
                                                                * f.behaviour()
                                                                        .coldProgramFactor()))
                        .min()
                        .orElse(0);
        capture.writeSite(file.site().site(), startsPerSecond);
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        AgentPool pool = new AgentPool(2, trusting);
        try {
            List<SocketAddress> dialled = new ArrayList<>();
            for (int p = 0; p < file.placers(); p++) {
                ChildProcess placer = placer(p);
                placers.add(placer);
                relays.add(
                        new RecordingProxy(
                                "p" + p,
                                placer.address(),
                                capture,
                                tls == null ? null : Tls.server(tls.files(), tls.clients()),
                                trusting));
                dialled.add(relays.get(p).address());
            }
            if (file.nodeProcesses() == 0) {
                nodes(file, pool, dialled, n -> true, true);
            }
            for (int n = 0; n < file.nodeProcesses(); n++) {
                nodeProcesses.add(nodeProcess(n, true));
            }
            Set<String> unsafe = new HashSet<>();
            file.site().site().placement().classes().stream()
                    .filter(c -> c.idempotency() == Placement.Idempotency.NON_IDEMPOTENT)
                    .forEach(c -> unsafe.add(c.name()));
            for (int p = 0; p < file.placers(); p++) {
                List<ClientConnection.Target> targets = new ArrayList<>();
                for (int c = 0; c < file.clients(); c++) {
                    targets.add(
                            new ClientConnection.Target(
                                    relays.get(p).address(),
                                    "owner-" + c,
                                    PASSCODE,
                                    file.site().site().heartbeat(),
                                    trusting));
                }
                ClientWorkload o =
                        new ClientWorkload(
                                loops.next(),
                                targets,
                                unsafe,
                                "p" + p + "-t",
                                file.seed() * 31 + p);
                owners.add(o);
            }
            Thread.sleep(500); // nodes and clients connect; asks before that would only be refused
            for (ClientWorkload o : owners) {
                file.traffic().forEach(t -> o.stream(t, () -> surge / file.placers()));
                if (file.vanishEvery() > 0) {
                    o.vanishEvery(file.vanishEvery() * file.placers(), 300);
                }
            }
            for (ScenarioFile.Fault t : file.faults()) {
                for (int i = 0; i < t.times(); i++) {
                    long at = (long) (1_000 * t.at() + i * t.every());
                    script.schedule(() -> trouble(t, pool), at, TimeUnit.MILLISECONDS);
                }
            }
            Thread.sleep(file.seconds() * 1_000L);
            owners.forEach(ClientWorkload::end);
            script.submit(() -> surge = 1);
            Thread.sleep(file.quiet() * 1_000L);
            return outcome();
        } finally {
            script.shutdownNow();
            script.awaitTermination(10, TimeUnit.SECONDS);
            starting.shutdown(); // a process that starts at this moment is waited for, so as to be
            // ended below
            starting.awaitTermination(30, TimeUnit.SECONDS);
            // the capture ends before anything is torn down: what happens then is not part of the
            // day
            capture.close();
            owners.forEach(ClientWorkload::close);
            pool.close();
            relays.forEach(RecordingProxy::close);
            placers.forEach(ChildProcess::kill);
            nodeProcesses.forEach(ChildProcess::kill);
            loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** The site as a day's placer of this number has it: with accounts for all who take part. */
    private static Site site(ScenarioFile file, int number, Path keysFolder) {
        Site s = file.site().site();
        List<Account> accounts = new ArrayList<>(s.accounts());
        String secret = keysFolder == null ? PASSCODE : Passcodes.hash(PASSCODE);
        accounts.add(new Account(AGENT, secret, Account.Role.AGENT, ""));
        accounts.add(new Account(OPERATOR, secret, Account.Role.OPERATOR, ""));
        for (int c = 0; c < file.clients(); c++) {
            accounts.add(new Account("owner-" + c, secret, Account.Role.OWNER, ""));
        }
        Site site =
                s.asPlacer(
                        "p" + number, number, file.placers(), file.seed() * 97 + number, accounts);
        return keysFolder == null ? site : site.withTls(tls(keysFolder));
    }

    /**
     * @param mine tells by zone which nodes are to be started
     */
    private static void nodes(
            ScenarioFile file,
            AgentPool pool,
            List<SocketAddress> placers,
            Predicate<String> mine,
            boolean warm) {
        int number = 0;
        for (ScenarioFile.Fleet fleet : file.fleets()) {
            for (int i = 0; i < fleet.count(); i++) {
                number++;
                String zone = fleet.zones().get(i % fleet.zones().size());
                if (mine.test(zone)) {
                    NodeShape shape =
                            new NodeShape(
                                    fleet.name() + "-" + number,
                                    fleet.kind().name(),
                                    zone,
                                    i,
                                    fleet.kind().cores(),
                                    fleet.kind().memory());
                    pool.add(
                            shape,
                            fleet.behaviour(),
                            new PlacerLogin(
                                    placers, AGENT, PASSCODE, file.site().site().heartbeat()),
                            file.seed() * 1_009 + number,
                            NodeAgent.Watcher.NONE,
                            warm);
                }
            }
        }
    }

    // ---- processes of their own ----
    private ChildProcess placer(int number) throws IOException {
        return ChildProcess.start(
                ScenarioRunner.class,
                List.of(
                        "placer",
                        file.script().toString(),
                        Long.toString(file.seed()),
                        Integer.toString(number),
                        keysFolder == null ? "-" : keysFolder.toString(),
                        work.resolve("state" + number).toString(),
                        file.site().site().state().durability().name()),
                failures -> moduleFailures.addAndGet(failures));
    }

    private ChildProcess nodeProcess(int number, boolean warm) throws IOException {
        List<String> args =
                new ArrayList<>(
                        List.of(
                                "nodes",
                                file.script().toString(),
                                Long.toString(file.seed()),
                                Integer.toString(number),
                                keysFolder == null ? "-" : keysFolder.toString(),
                                Boolean.toString(warm)));
        relays.forEach(r -> args.add(Integer.toString(r.address().getPort())));
        return ChildProcess.start(ScenarioRunner.class, args, failures -> {});
    }

    /**
     * The child's side: one placer, or the nodes of some zones, until the parent ends or kills it.
     */
    public static void main(String[] args) throws Exception {
        ScenarioFile file = ScenarioFile.read(Path.of(args[1])).withSeed(Long.parseLong(args[2]));
        int number = Integer.parseInt(args[3]);
        Path keysFolder = args[4].equals("-") ? null : Path.of(args[4]);
        if (args[0].equals("placer")) {
            Site.State state = new Site.State(Durability.valueOf(args[6]), Path.of(args[5]));
            Placer placer =
                    Placer.start(
                            site(file, number, keysFolder).withState(state), "127.0.0.1", 0, 1);
            ChildProcess.serve(
                    placer.addresses().get(0).getPort(), () -> placer.totals().policyFailures());
        } else {
            AgentPool pool =
                    new AgentPool(
                            2,
                            keysFolder == null
                                    ? null
                                    : Tls.client(
                                            new Tls.Pem(
                                                    null, null, new Keys(keysFolder).authority())));
            List<SocketAddress> placers = new ArrayList<>();
            for (String port : List.of(args).subList(6, args.length)) {
                placers.add(new InetSocketAddress("127.0.0.1", Integer.parseInt(port)));
            }
            List<String> zones =
                    file.fleets().stream()
                            .flatMap(f -> f.zones().stream())
                            .distinct()
                            .sorted()
                            .toList();
            nodes(
                    file,
                    pool,
                    placers,
                    zone -> zones.indexOf(zone) % file.nodeProcesses() == number,
                    Boolean.parseBoolean(args[5]));
            ChildProcess.serve(0, () -> 0);
        }
    }

    private void trouble(ScenarioFile.Fault t, AgentPool pool) {
        try {
            List<NodeAgent> struck = struck(t, pool);
            LOG.info(
                    "trouble: {} part {} for {} ms, {} nodes",
                    t.kind(),
                    t.part(),
                    t.millis(),
                    struck.size());
            switch (t.kind()) {
                case CRASH -> struck.forEach(n -> n.crash(t.millis()));
                case PAUSE -> struck.forEach(n -> n.pause(t.millis()));
                case PLACER_PAUSE -> {
                    for (int p = 0; p < placers.size(); p++) {
                        capture.writePause("p" + p, t.millis() * 1_000);
                        ChildProcess placer = placers.get(p);
                        placer.pause(true);
                        script.schedule(
                                () -> placer.pause(false), t.millis(), TimeUnit.MILLISECONDS);
                    }
                }
                case MUTE -> struck.forEach(n -> n.mute(t.taskClass(), t.millis()));
                case ANSWERS_LOST -> {
                    struck.forEach(n -> n.dropAnswers(t.factor()));
                    script.schedule(
                            () -> struck.forEach(n -> n.dropAnswers(0)),
                            t.millis(),
                            TimeUnit.MILLISECONDS);
                }
                case PREEMPT -> struck.forEach(n -> n.preempt((int) t.factor()));
                case SURGE -> {
                    surge = t.factor();
                    script.schedule(() -> surge = 1, t.millis(), TimeUnit.MILLISECONDS);
                }
                case RESTART_SERVICES -> owners.forEach(o -> o.restartServices(t.part()));
                case VANISH -> owners.forEach(o -> o.vanish(t.part(), t.millis()));
                case PLACER_KILL -> killPlacer(random.nextInt(placers.size()), drawn(t));
                case NODE_KILL -> killNodes(random.nextInt(nodeProcesses.size()), drawn(t));
                case BOTH_KILL -> {
                    killNodes(random.nextInt(nodeProcesses.size()), drawn(t));
                    killPlacer(random.nextInt(placers.size()), drawn(t));
                }
                case CUT -> relays.forEach(r -> r.cut(t.part(), random));
                case HALF_OPEN -> relays.forEach(r -> r.halfOpen(t.part(), random));
                case SLOW_READER -> relays.forEach(r -> r.slowReader(t.part(), t.millis(), random));
                case DRAIN -> {
                    struck.forEach(n -> drain(n.shape().name(), true));
                    script.schedule(
                            () -> struck.forEach(n -> drain(n.shape().name(), false)),
                            t.millis(),
                            TimeUnit.MILLISECONDS);
                }
            }
        } catch (RuntimeException e) {
            LOG.error("a trouble could not be made", e);
        }
    }

    /**
     * Exactly the part asked for, rounded up, drawn from the seed: a trouble that strikes nothing
     * tests nothing.
     */
    private List<NodeAgent> struck(ScenarioFile.Fault t, AgentPool pool) {
        List<NodeAgent> nodes = new ArrayList<>(pool.nodes());
        nodes.removeIf(n -> !t.zone().isEmpty() && !n.shape().zone().equals(t.zone()));
        int count = (int) Math.ceil(t.part() * nodes.size());
        for (int i = 0; i < count; i++) {
            Collections.swap(nodes, i, i + random.nextInt(nodes.size() - i));
        }
        return new ArrayList<>(nodes.subList(0, count));
    }

    private long drawn(ScenarioFile.Fault t) {
        return t.millis() + random.nextLong(t.most() - t.millis() + 1);
    }

    private void killPlacer(int p, long downMs) {
        ChildProcess placer = placers.get(p);
        if (placer.upForMs() < UP_LEAST_MS) {
            script.schedule(
                    () -> killPlacer(p, downMs),
                    KILL_AGAIN_MS,
                    TimeUnit.MILLISECONDS); // once it is up again
            return;
        }
        placer.kill();
        relays.get(p).closeAll();
        capture.writeMark("placer-killed", "p" + p);
        again(
                "placer " + p,
                downMs,
                () -> {
                    ChildProcess anew = placer(p);
                    placers.set(p, anew);
                    relays.get(p).target(anew.address());
                });
    }

    private void killNodes(int n, long downMs) {
        ChildProcess nodes = nodeProcesses.get(n);
        if (nodes.upForMs() >= UP_LEAST_MS) {
            nodes.kill();
            capture.writeMark("nodes-killed", "");
            again("nodes " + n, downMs, () -> nodeProcesses.set(n, nodeProcess(n, false)));
        } else {
            script.schedule(() -> killNodes(n, downMs), KILL_AGAIN_MS, TimeUnit.MILLISECONDS);
        }
    }

    private interface Start {
        void start() throws IOException;
    }

    private void again(String what, long downMs, Start start) {
        script.schedule(
                () ->
                        starting.execute(
                                () -> {
                                    try {
                                        start.start();
                                    } catch (IOException e) {
                                        LOG.error("{} could not be started again", what, e);
                                    }
                                }),
                downMs,
                TimeUnit.MILLISECONDS);
    }

    /**
     * As an operator would, with each placer; through the relays, so that it is recorded when each
     * is told.
     */
    private void drain(String node, boolean on) {
        for (RecordingProxy relay : relays) {
            InetSocketAddress at = relay.address();
            MultiThreadIoEventLoopGroup loop =
                    new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            ClientConnection.open(
                    loop.next(),
                    new ClientConnection.Target(
                            at, OPERATOR, PASSCODE, file.site().site().heartbeat(), trusting),
                    FrameLimits.DEFAULTS,
                    new ClientConnection.Listener() {
                        @Override
                        public void connected(ClientConnection c) {
                            c.request(
                                    Destinations.DRAIN,
                                    Drain.newBuilder().setNode(node).setOn(on).build(),
                                    error -> c.disconnect());
                        }

                        @Override
                        public void message(ClientConnection c, Frame frame) {
                            // none is subscribed to
                        }

                        @Override
                        public void closed(ClientConnection c, String why) {
                            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
                        }
                    });
        }
    }

    private Outcome outcome() {
        long[] s = new long[9];
        for (ClientWorkload o : owners) {
            ClientWorkload.Tally t = o.tally();
            s[0] += t.tasks();
            s[1] += t.asked();
            s[2] += t.placed();
            s[3] += t.refused();
            s[4] += t.failed();
            s[5] += t.unanswered();
            s[6] += t.ended();
            s[7] += t.evicted();
            s[8] += t.lost();
        }
        return new Outcome(
                s[0], s[1], s[2], s[3], s[4], s[5], s[6], s[7], s[8], moduleFailures.get());
    }
}
