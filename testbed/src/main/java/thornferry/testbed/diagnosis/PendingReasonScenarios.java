package thornferry.testbed.diagnosis;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import thornferry.client.TaskClient;
import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Placer;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.Why;

/**
 * For each kind of reason a small site on loopback in which it is the true one, since scripted
 * nodes make it so; then the change that is said to end it, after which the task must be placed.
 * Times run from the fact to its being shown.
 */
public final class PendingReasonScenarios {
    /**
     * What was shown; {@code shownMicros} after the fact, {@code placedMicros} after the change, -1
     * where none is made.
     */
    public record Shown(
            String scenario, Kind kind, String sentence, long shownMicros, long placedMicros) {}

    /** A scenario in which something else was shown than what was true. */
    public static final class ScenarioFailedException extends Exception {
        private static final long serialVersionUID = 1;

        ScenarioFailedException(String message) {
            super(message);
        }
    }

    private static final long WAIT_MS = 5_000;
    private static final String CLASSES =
            """
            [connections]
            heart-beat-ms = 500
            [intake]
            settle-ms = 0
            [rules]
            ramp-ms = 60000
            cold-offers = 2
            cold-window-ms = 1500
            [[kind]]
            name = "std"
            cores = 16.0
            memory = 32.0
            [[class]]
            name = "safe"
            effect = "safe"
            deadline-ms = 20000
            [[class]]
            name = "dear"
            effect = "safe"
            deadline-ms = 20000
            worth = 5.0
            [[class]]
            name = "keyed"
            effect = "keyed"
            key-scope = "zone"
            key-window-ms = 60000
            deadline-ms = 20000
            [[class]]
            name = "unsafe"
            effect = "unsafe"
            deadline-ms = 20000
            [[class]]
            name = "spread"
            effect = "safe"
            deadline-ms = 20000
            spread = "machine"
            spread-most = 1
            [[tenant]]
            name = "one"
            share = 0.5
            [[tenant]]
            name = "two"
            share = 0.5
            [[account]]
            login = "owner1"
            passcode = "o"
            role = "owner"
            tenant = "one"
            [[account]]
            login = "owner2"
            passcode = "o"
            role = "owner"
            tenant = "two"
            [[account]]
            login = "node"
            passcode = "n"
            role = "agent"
            """;

    /** One site while its scenario plays. */
    private static final class Stage implements AutoCloseable {
        final MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        final Placer placer;
        final SocketAddress address;
        final TaskClient owner;
        final TaskClient other;
        final List<ScriptedNode> nodes = new ArrayList<>();
        final Map<String, java.util.concurrent.CompletableFuture<TaskNews>> results =
                new HashMap<>();

        Stage(String line) throws Exception {
            String[] parts = line.split("---\n");
            String before = parts.length > 1 ? parts[0] : "";
            placer =
                    Placer.start(
                            SiteFile.of(
                                            TomlFile.parse(
                                                    "scenario.toml",
                                                    before + CLASSES + parts[parts.length - 1]))
                                    .site(),
                            "127.0.0.1",
                            0,
                            1);
            address = placer.addresses().get(0);
            owner = client("owner1");
            other = client("owner2");
            owner.waiting().handle((table, e) -> table).get(5, TimeUnit.SECONDS);
        }

        private TaskClient client(String login) throws Exception {
            TaskClient c =
                    TaskClient.connect(
                            new ClientConnection.Target(
                                    address, login, "o", new Heartbeat(500, 500)),
                            loops.next(),
                            news -> {});
            for (int i = 0;
                    i < 500 && c.waiting().handle((table, e) -> e != null).get(5, TimeUnit.SECONDS);
                    i++) {
                Thread.sleep(10);
            }
            return c;
        }

        ScriptedNode node(String name) {
            ScriptedNode node = new ScriptedNode(loops.next(), address, name, "std", 16, 32);
            nodes.add(node);
            return node;
        }

        void ask(TaskClient by, String id, String cls, double cores) {
            results.put(
                    id,
                    by.submit(
                            Task.newBuilder()
                                    .setId(id)
                                    .setTaskClass(cls)
                                    .setService(cls)
                                    .setKey("k")
                                    .setCores(cores)
                                    .setMemory(cores)
                                    .build()));
        }

        void ask(String id, String cls, double cores) {
            ask(owner, id, cls, cores);
        }

        void placed(String id) throws Exception {
            TaskNews news = results.get(id).get(WAIT_MS, TimeUnit.MILLISECONDS);
            if (!news.getResult().equals("placed")) {
                throw new ScenarioFailedException(
                        "task "
                                + id
                                + " should have been placed, not "
                                + news.getResult()
                                + ": "
                                + news.getReason());
            }
        }

        /** Microseconds until the reason is as it should be. */
        long shows(TaskClient by, String id, Predicate<Why> right, String what) throws Exception {
            long begin = System.nanoTime();
            Why why = null;
            while (System.nanoTime() - begin < WAIT_MS * 1_000_000) {
                why = by.why(id).get(WAIT_MS, TimeUnit.MILLISECONDS);
                if (right.test(why)) {
                    return (System.nanoTime() - begin) / 1_000;
                }
                Thread.sleep(2);
            }
            throw new ScenarioFailedException(what + " should be shown for " + id + ", not " + why);
        }

        @Override
        public void close() {
            owner.close();
            other.close();
            nodes.forEach(ScriptedNode::close);
            placer.close();
            loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    /** What makes a reason true, and what ends it. */
    private interface Play {
        void on(Stage stage) throws Exception;
    }

    private record Scenario(
            String name, String line, Play fact, Kind kind, String evidence, Play end) {}

    private PendingReasonScenarios() {}

    private static List<Scenario> all() {
        List<Scenario> list = new ArrayList<>();
        list.add(
                new Scenario(
                        "no node is connected",
                        "",
                        s -> s.ask("t", "safe", 1),
                        Kind.NO_NODES,
                        "",
                        s -> s.node("n1").join()));
        list.add(
                new Scenario(
                        "larger than any node",
                        "",
                        s -> {
                            s.node("n1").join();
                            s.ask("t", "safe", 20);
                        },
                        Kind.NO_FIT,
                        "too small",
                        null));
        list.add(
                new Scenario(
                        "not enough cores",
                        "",
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "dear", 10);
                            s.placed("x");
                            s.ask("t", "dear", 10);
                        },
                        Kind.NO_ROOM,
                        "n1",
                        s -> s.nodes.get(0).end("x", 10, 10)));
        list.add(
                new Scenario(
                        "a node refuses for memory",
                        "",
                        s -> {
                            ScriptedNode n = s.node("n1");
                            n.script = offer -> Answer.Kind.REFUSED;
                            n.reason = Answer.Reason.NO_MEMORY;
                            n.join();
                            s.ask("t", "safe", 1);
                        },
                        Kind.REFUSED,
                        "not enough memory",
                        s -> s.nodes.get(0).script = ScriptedNode.WILLING));
        list.add(
                new Scenario(
                        "the node's connection broke",
                        "",
                        s -> {
                            s.node("n1").join();
                            s.nodes.get(0).cut();
                            Thread.sleep(50);
                            s.ask("t", "safe", 1);
                        },
                        Kind.OUT_OF_TRUST,
                        "n1",
                        s -> s.node("n2").join()));
        list.add(
                new Scenario(
                        "the key is held by a task of one's own",
                        "",
                        s -> {
                            s.node("n1").join();
                            s.ask("mine", "keyed", 1);
                            s.placed("mine");
                            s.nodes.get(0).script = offer -> Answer.Kind.REFUSED;
                            s.nodes.get(0).reason = Answer.Reason.KEY_HELD;
                            s.ask("t", "keyed", 1);
                        },
                        Kind.KEY_HELD,
                        "mine",
                        s -> s.node("n2").join()));
        list.add(
                new Scenario(
                        "the key is held by another's task",
                        "",
                        s -> {
                            s.node("n1").join();
                            s.ask(s.other, "secret", "keyed", 1);
                            s.placed("secret");
                            s.nodes.get(0).script = offer -> Answer.Kind.REFUSED;
                            s.nodes.get(0).reason = Answer.Reason.KEY_HELD;
                            s.ask("t", "keyed", 1);
                        },
                        Kind.KEY_HELD,
                        "key held",
                        s -> s.node("n2").join()));
        list.add(
                new Scenario(
                        "the node drains",
                        "",
                        s -> {
                            s.node("n1").join().drain(true);
                            Thread.sleep(50);
                            s.ask("t", "safe", 1);
                        },
                        Kind.DRAINING,
                        "n1",
                        s -> s.nodes.get(0).drain(false)));
        list.add(
                new Scenario(
                        "one of its service on every node",
                        "",
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "spread", 1);
                            s.placed("x");
                            s.ask("t", "spread", 1);
                        },
                        Kind.SPREAD,
                        "",
                        s -> s.nodes.get(0).end("x", 1, 1)));
        list.add(
                new Scenario(
                        "the node has just started",
                        "",
                        s -> {
                            ScriptedNode n = s.node("n1");
                            n.uptimeMs = 0;
                            n.join();
                            s.ask("x", "safe", 1);
                            s.placed("x");
                            s.ask("t", "safe", 1);
                        },
                        Kind.COLD,
                        "just started",
                        s -> s.node("n2").join()));
        list.add(
                new Scenario(
                        "one's own limit",
                        "[[limit]]\nowner = \"owner1\"\ntasks = 1\n",
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "safe", 1);
                            s.placed("x");
                            s.ask("t", "safe", 1);
                        },
                        Kind.OWN_LIMIT,
                        "tasks",
                        s -> s.nodes.get(0).end("x", 1, 1)));
        list.add(
                new Scenario(
                        "the tenant's limit",
                        "[[limit]]\ntenant = \"one\"\ncores = 2\n",
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "safe", 2);
                            s.placed("x");
                            s.ask("t", "safe", 1);
                        },
                        Kind.TENANT_LIMIT,
                        "cores",
                        s -> s.nodes.get(0).end("x", 2, 2)));
        list.add(
                new Scenario(
                        "the site's limit",
                        "[[limit]]\nsite = true\ntasks = 1\n",
                        s -> {
                            s.node("n1").join();
                            s.ask(s.other, "x", "safe", 1);
                            s.placed("x");
                            s.ask("t", "safe", 1);
                        },
                        Kind.OVERLOADED,
                        "tasks",
                        s -> s.nodes.get(0).end("x", 1, 1)));
        String narrow = "[line]\nwindow = 1\ntake-back-ms = 60000\ngather-for-ms = 0\n---\n";
        list.add(
                new Scenario(
                        "above one's share",
                        narrow,
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "dear", 10);
                            s.placed("x");
                            s.ask("y", "dear", 10); // no room: fills the window
                            s.shows(
                                    s.owner,
                                    "y",
                                    w -> w.getReason().getKind() == Kind.NO_ROOM,
                                    "no room");
                            s.ask(s.other, "z", "safe", 1);
                            s.ask("t", "safe", 1);
                        },
                        Kind.TENANT_SHARE,
                        "one",
                        s -> s.nodes.get(0).end("x", 10, 10)));
        list.add(
                new Scenario(
                        "its turn has not come",
                        narrow,
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "dear", 10);
                            s.placed("x");
                            s.ask("y", "dear", 10);
                            s.shows(
                                    s.owner,
                                    "y",
                                    w -> w.getReason().getKind() == Kind.NO_ROOM,
                                    "no room");
                            s.ask("z", "dear", 1);
                            s.ask("t", "safe", 1);
                        },
                        Kind.TURN,
                        "before it",
                        s -> s.nodes.get(0).end("x", 10, 10)));
        list.add(
                new Scenario(
                        "room is kept for a larger task",
                        "[line]\ngather-after-ms = 100\ngather-for-ms = 2000\n" + "---\n",
                        s -> {
                            s.node("n1").join();
                            s.ask("x", "dear", 10);
                            s.placed("x");
                            s.ask("large", "dear", 10);
                            Thread.sleep(200);
                            s.ask("t", "safe", 1);
                        },
                        Kind.GATHERING,
                        "",
                        s -> s.nodes.get(0).end("x", 10, 10)));
        list.add(
                new Scenario(
                        "an earlier attempt may have run",
                        "",
                        s -> {
                            ScriptedNode n = s.node("n1");
                            n.script = ScriptedNode.MUTE;
                            n.join();
                            s.ask("t", "unsafe", 1);
                            s.shows(
                                    s.owner,
                                    "t",
                                    w -> w.getReason().getKind() == Kind.ANSWER,
                                    "answer due");
                            n.cut();
                        },
                        Kind.PROOF,
                        "n1",
                        s -> {
                            s.node("n2").join();
                            s.node("n1")
                                    .join(); // the same life, and its inventory lacks the attempt
                        }));
        list.add(
                new Scenario(
                        "offered, and the answer is due",
                        "",
                        s -> {
                            ScriptedNode n = s.node("n1");
                            n.script = ScriptedNode.MUTE;
                            n.join();
                            s.ask("t", "unsafe", 1);
                        },
                        Kind.ANSWER,
                        "n1",
                        null));
        return list;
    }

    /** Plays all of them. */
    public static List<Shown> play() throws Exception {
        List<Shown> shown = new ArrayList<>();
        for (Scenario s : all()) {
            shown.add(play(s));
        }
        shown.addAll(changing());
        return shown;
    }

    private static Shown play(Scenario s) throws Exception {
        try (Stage stage = new Stage(s.line())) {
            s.fact().on(stage);
            long micros =
                    stage.shows(
                            stage.owner,
                            "t",
                            w ->
                                    w.getReason().getKind() == s.kind()
                                            && w.getReason().getSentence().contains(s.evidence()),
                            s.name() + ": " + s.kind());
            Why why = stage.owner.why("t").get(WAIT_MS, TimeUnit.MILLISECONDS);
            if (why.toString().contains("secret")) {
                throw new ScenarioFailedException(
                        s.name() + ": another owner's task is named: " + why);
            }
            long placed = -1;
            if (s.end() != null) {
                long begin = System.nanoTime();
                s.end().on(stage);
                stage.placed("t");
                placed = (System.nanoTime() - begin) / 1_000;
                Why after = stage.owner.why("t").get(WAIT_MS, TimeUnit.MILLISECONDS);
                if (!after.getState().equals("placed") || after.hasReason()) {
                    throw new ScenarioFailedException(s.name() + ": a placed task shows " + after);
                }
            }
            return new Shown(s.name(), s.kind(), why.getReason().getSentence(), micros, placed);
        } catch (ExecutionException | TimeoutException | ConfigException e) {
            throw new ScenarioFailedException(s.name() + ": " + e);
        }
    }

    /**
     * What a question about another's waiting task takes, and one about a task that there is not:
     * medians of so many each, in turn, microseconds. An owner must not be able to tell the two
     * apart.
     */
    public static long[] timing(int questions) throws Exception {
        try (Stage stage = new Stage("")) {
            stage.ask("t", "safe", 1);
            stage.shows(stage.owner, "t", w -> w.getState().equals("waiting"), "waiting");
            List<List<Long>> took = List.of(new ArrayList<>(), new ArrayList<>());
            for (int i = 0; i < 2 * questions; i++) {
                long begin = System.nanoTime();
                Why why =
                        stage.other.why(i % 2 == 0 ? "t" : "u").get(WAIT_MS, TimeUnit.MILLISECONDS);
                took.get(i % 2).add((System.nanoTime() - begin) / 1_000);
                if (!why.getState().equals("unknown")) {
                    throw new ScenarioFailedException("another's task is told: " + why);
                }
            }
            took.forEach(t -> t.sort(null));
            return new long[] {took.get(0).get(questions / 2), took.get(1).get(questions / 2)};
        }
    }

    private static Shown shows(Stage stage, String name, Kind kind) throws Exception {
        long micros = stage.shows(stage.owner, "t", w -> w.getReason().getKind() == kind, name);
        return new Shown(
                name,
                kind,
                stage.owner.why("t").get(WAIT_MS, TimeUnit.MILLISECONDS).getReason().getSentence(),
                micros,
                -1);
    }

    /**
     * One task whose reason changes three times while it waits: refused for memory, then draining,
     * then room comes.
     */
    private static List<Shown> changing() throws Exception {
        List<Shown> shown = new ArrayList<>();
        try (Stage stage = new Stage("")) {
            ScriptedNode n = stage.node("n1");
            n.script = offer -> Answer.Kind.REFUSED;
            n.reason = Answer.Reason.NO_MEMORY;
            n.join();
            stage.ask("t", "safe", 1);
            shown.add(shows(stage, "changing: refused", Kind.REFUSED));
            n.drain(true);
            shown.add(shows(stage, "changing: drains", Kind.DRAINING));
            n.script = ScriptedNode.WILLING;
            long begin = System.nanoTime();
            n.drain(false);
            stage.placed("t");
            long placed = (System.nanoTime() - begin) / 1_000;
            List<Kind> history = new ArrayList<>();
            Why why = stage.owner.why("t").get(WAIT_MS, TimeUnit.MILLISECONDS);
            why.getHistoryList().forEach(c -> history.add(c.getReason().getKind()));
            if (history.indexOf(Kind.REFUSED) < 0
                    || history.indexOf(Kind.DRAINING) < history.indexOf(Kind.REFUSED)) {
                throw new ScenarioFailedException(
                        "the history should tell refused, then draining: " + history);
            }
            shown.add(new Shown("changing: room comes", Kind.UNKNOWN, why.getState(), 0, placed));
        }
        return shown;
    }
}
