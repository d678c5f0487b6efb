package thornferry.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.client.TaskClient;
import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Placer;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.testbed.diagnosis.LoopbackPlacer;

/** A placer with emulated nodes on loopback, and clients of every role. */
public final class TestCluster implements AutoCloseable {
    /** A task class whose tasks are idempotent. */
    public static final String IDEMPOTENT = "idempotent";

    /** A task class with an idempotency key that holds within a zone. */
    static final String IDEMPOTENT_WITH_KEY = "idempotent-with-key";

    static final String NON_IDEMPOTENT = "non-idempotent";

    private static final String SITE =
            """
            [connections]
            heart-beat-ms = 300
            handshake-ms = 500
            most = 60
            [membership]
            gone-after-ms = 2000
            flaps = 100
            [intake]
            settle-ms = %d
            retry-least-ms = 50
            [frames]
            unwritten-octets = 16384
            [[kind]]
            name = "std"
            cores = 16.0
            memory = 32.0
            [[class]]
            name = "idempotent"
            effect = "safe"
            deadline-ms = 3000
            [[class]]
            name = "idempotent-with-key"
            effect = "keyed"
            key-scope = "zone"
            key-window-ms = 5000
            deadline-ms = 3000
            worth = 5.0
            [[class]]
            name = "non-idempotent"
            effect = "unsafe"
            deadline-ms = 6000
            [[account]]
            login = "depot1"
            passcode = "one"
            role = "owner"
            [[account]]
            login = "depot2"
            passcode = "two"
            role = "owner"
            [[account]]
            login = "node"
            passcode = "n"
            role = "agent"
            [[account]]
            login = "ops"
            passcode = "o"
            role = "operator"
            """;

    private static final Heartbeat HEARTBEAT = new Heartbeat(300, 300);
    private static final long KEY_WINDOW_MICROS = 5_000_000;
    private static final long RESULT_TIMEOUT_SECONDS = 20;
    private static final int CELL = 1;
    private static final double NODE_CORES = 16;
    private static final double NODE_MEMORY = 32;
    private static final long NODE_SEED = 1;

    private final LoopbackPlacer placer;
    private final AgentPool nodes = new AgentPool(1);
    private final List<TaskStart> starts = new CopyOnWriteArrayList<>();
    private final List<TaskNews> events = new CopyOnWriteArrayList<>();

    /** A start of a task that a node has reported. */
    record TaskStart(String node, String attempt) {}

    /** Starts a placer without nodes, which places tasks of every class at once. */
    public TestCluster() throws ConfigException, IOException {
        this(Duration.ZERO);
    }

    /**
     * Starts a placer without nodes.
     *
     * @param settleTime how long after its start the placer waits for the inventories of nodes
     *     before it places non-idempotent tasks
     */
    TestCluster(Duration settleTime) throws ConfigException, IOException {
        String settings = SITE.formatted(settleTime.toMillis());
        placer =
                LoopbackPlacer.start(
                        SiteFile.of(TomlFile.parse("cluster.toml", settings)).site(), HEARTBEAT);
        placer.beforeClose(nodes::close);
    }

    private static NodeBehavior fastNode() {
        NodeBehavior usual = NodeBehavior.usual(Map.of(IDEMPOTENT_WITH_KEY, KEY_WINDOW_MICROS));
        return new NodeBehavior(
                /* minDecisionMicros= */ 1_000,
                /* maxDecisionMicros= */ 2_000,
                /* offerQueueLength= */ 100,
                /* concurrentStarts= */ 16,
                /* startMicros= */ 5_000,
                /* coldProgramFactor= */ 2,
                /* cachedPrograms= */ 8,
                usual.slowStartMicros(),
                usual.slowStartInitialShare(),
                usual.slowStartMultiple(),
                usual.slowStartWindowMicros(),
                usual.slowStartOffers(),
                /* minUsageFraction= */ 0.5,
                /* maxUsageFraction= */ 0.9,
                /* defaultRunMicros= */ 60_000_000,
                /* usageReportMicros= */ 0,
                usual.keyWindowMicrosByClass());
    }

    /** Starts a node and waits until the placer lists it. */
    public NodeAgent startNode(String name, String zone) throws IOException {
        NodeAgent node =
                nodes.add(
                        new NodeShape(name, "std", zone, CELL, NODE_CORES, NODE_MEMORY),
                        fastNode(),
                        new PlacerLogin(List.of(placer.address()), "node", "n", HEARTBEAT),
                        NODE_SEED,
                        new StartRecorder());
        awaitListed(name);
        return node;
    }

    /** Waits until the placer lists a node among those of the site. */
    void awaitListed(String node) throws IOException {
        try (RawStompClient operator = rawClient("ops", "o")) {
            operator.subscribe("/nodes");
            operator.await("\"node\":\"" + node + "\"");
        }
    }

    /** Connects a client; its task events go to {@link #events()}. */
    public TaskClient client(String login, String passcode) {
        return placer.connect(placer.target(login, passcode), events::add);
    }

    /** Connects a client that sends raw text. */
    RawStompClient rawClient(String login, String passcode) throws IOException {
        return RawStompClient.connect(placer.address(), login, passcode);
    }

    /** Opens a connection on which nothing has been sent yet. */
    RawStompClient rawConnection() throws IOException {
        return RawStompClient.open(placer.address());
    }

    /** A task of one core and one memory unit, with an idempotency key of its own. */
    public static Task task(String id, String taskClass) {
        return Task.newBuilder()
                .setId(id)
                .setTaskClass(taskClass)
                .setService(taskClass)
                .setKey("key-" + id)
                .setCores(1)
                .setMemory(1)
                .build();
    }

    /** Waits for the result of a task. */
    static TaskNews resultOf(CompletableFuture<TaskNews> result) throws Exception {
        return result.get(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Stops the placer as a kill would, and starts another on the same port. */
    void restartPlacer() throws IOException {
        placer.restart();
    }

    Placer placer() {
        return placer.placer();
    }

    InetSocketAddress address() {
        return placer.address();
    }

    /** The task starts that nodes have reported, in order. */
    List<TaskStart> starts() {
        return starts;
    }

    /** The task events that clients have received, in order. */
    List<TaskNews> events() {
        return events;
    }

    @Override
    public void close() {
        placer.close();
    }

    private final class StartRecorder implements NodeAgent.Watcher {
        @Override
        public void answerSent(String node, Answer answer) {
            if (answer.getKind() == Answer.Kind.RUNS) {
                starts.add(new TaskStart(node, answer.getAttempt()));
            }
        }
    }
}
