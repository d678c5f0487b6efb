package thornferry.testbed;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import thornferry.agent.AgentPool;
import thornferry.agent.NodeAgent;
import thornferry.agent.NodeBehavior;
import thornferry.agent.NodeShape;
import thornferry.agent.PlacerLogin;
import thornferry.client.TaskClient;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Placer;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/** A placer with nodes on loopback, and peers of every kind, for tests of the whole path. */
public final class TestCluster implements AutoCloseable {
    static final String SITE =
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
            name = "gauge-relay"
            effect = "safe"
            deadline-ms = 3000
            [[class]]
            name = "depot-sync"
            effect = "keyed"
            key-scope = "zone"
            key-window-ms = 5000
            deadline-ms = 3000
            worth = 5.0
            [[class]]
            name = "levy-run"
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

    final SiteFile file;
    Placer placer;
    final int port;
    final AgentPool pool = new AgentPool(1);
    final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final List<String> starts = new CopyOnWriteArrayList<>();
    final List<TaskNews> events = new CopyOnWriteArrayList<>();
    final List<AutoCloseable> opened = new ArrayList<>();
    private final NodeBehavior behaviour;

    public TestCluster() throws Exception {
        this(0);
    }

    TestCluster(int settleMs) throws Exception {
        file = SiteFile.of(TomlFile.parse("rig.toml", SITE.formatted(settleMs)));
        placer = Placer.start(file.site(), "127.0.0.1", 0, 1);
        port = placer.addresses().get(0).getPort();
        NodeBehavior b = NodeBehavior.usual(Map.of("depot-sync", 5_000_000L));
        behaviour =
                new NodeBehavior(
                        1_000,
                        2_000,
                        100,
                        16,
                        5_000,
                        2,
                        8,
                        b.slowStartMicros(),
                        b.slowStartInitialShare(),
                        b.slowStartMultiple(),
                        b.slowStartWindowMicros(),
                        b.slowStartOffers(),
                        0.5,
                        0.9,
                        60_000_000,
                        0,
                        b.keyWindowMicrosByClass());
    }

    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** Kills the placer and starts another in its place. */
    void restart() throws IOException {
        placer.close();
        placer = Placer.start(file.site(), "127.0.0.1", port, 1);
    }

    public NodeAgent node(String name, String zone) throws Exception {
        NodeAgent.Watcher watcher =
                new NodeAgent.Watcher() {
                    @Override
                    public void said(String node, Answer answer) {
                        if (answer.getKind() == Answer.Kind.RUNS) {
                            starts.add(node + " " + answer.getAttempt());
                        }
                    }
                };
        NodeAgent node =
                pool.add(
                        new NodeShape(name, "std", zone, 1, 16, 32),
                        behaviour,
                        new PlacerLogin(
                                List.<SocketAddress>of(address()),
                                "node",
                                "n",
                                new Heartbeat(300, 300)),
                        1,
                        watcher);
        eventuallyOnline(name);
        return node;
    }

    void eventuallyOnline(String name) throws Exception {
        try (Peer ops = peer("ops", "o")) {
            ops.send("SUBSCRIBE\nid:1\ndestination:/nodes\n\n^");
            ops.await("\"node\":\"" + name + "\"");
        }
    }

    public TaskClient client(String login, String passcode) {
        TaskClient client =
                TaskClient.connect(
                        new ClientConnection.Target(
                                address(), login, passcode, new Heartbeat(300, 300)),
                        loops.next(),
                        events::add);
        opened.add(client);
        return client;
    }

    public static Task task(String id, String cls) {
        return Task.newBuilder()
                .setId(id)
                .setTaskClass(cls)
                .setService(cls)
                .setKey("key-" + id)
                .setCores(1)
                .setMemory(1)
                .build();
    }

    Peer peer(String login, String passcode) throws IOException {
        Peer peer = new Peer();
        peer.send(
                "CONNECT\naccept-version:1.2\nhost:h\nlogin:"
                        + login
                        + "\npasscode:"
                        + passcode
                        + "\n\n^");
        peer.await("CONNECTED");
        return peer;
    }

    /** A peer that speaks whatever octets a test wants; ^ stands for NUL. */
    final class Peer implements AutoCloseable {
        final Socket socket;
        private final BlockingQueue<String> frames = new LinkedBlockingQueue<>();
        private final Thread reader;

        Peer() throws IOException {
            socket = new Socket("127.0.0.1", port);
            reader = new Thread(this::read);
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            StringBuilder frame = new StringBuilder();
            try (InputStream in = socket.getInputStream()) {
                for (int c = in.read(); c >= 0; c = in.read()) {
                    if (c == 0) {
                        frames.add(frame.toString().strip());
                        frame.setLength(0);
                    } else {
                        frame.append((char) c);
                    }
                }
            } catch (IOException e) {
                // told below, as an end
            }
            frames.add("END");
        }

        void send(String text) throws IOException {
            // asked for once: the server may have answered, and the reader closed the socket,
            // before a second call
            OutputStream out = socket.getOutputStream();
            out.write(text.replace('^', '\0').getBytes(StandardCharsets.UTF_8));
        }

        /**
         * The next frame that holds {@code part}; fails after ten seconds or at the connection's
         * end.
         */
        String await(String part) {
            try {
                for (String f = frames.poll(10, TimeUnit.SECONDS);
                        f != null;
                        f = frames.poll(10, TimeUnit.SECONDS)) {
                    if (f.contains(part)) {
                        return f;
                    }
                    if (f.equals("END")) {
                        break;
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            throw new AssertionError("no frame with " + part);
        }

        /** The next frame, or END; null after ten seconds. */
        String next() throws InterruptedException {
            return frames.poll(10, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A connection of the protocol's own, with what came in. */
    ClientConnection connection(String login, String passcode, List<Frame> got)
            throws InterruptedException {
        java.util.concurrent.CountDownLatch up = new java.util.concurrent.CountDownLatch(1);
        ClientConnection c =
                ClientConnection.open(
                        loops.next(),
                        new ClientConnection.Target(
                                address(), login, passcode, new Heartbeat(300, 300)),
                        FrameLimits.DEFAULTS,
                        new ClientConnection.Listener() {
                            @Override
                            public void connected(ClientConnection connection) {
                                up.countDown();
                            }

                            @Override
                            public void message(ClientConnection connection, Frame frame) {
                                got.add(frame);
                            }

                            @Override
                            public void closed(ClientConnection connection, String why) {
                                up.countDown();
                            }
                        });
        up.await(10, TimeUnit.SECONDS);
        return c;
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable each : opened) {
            each.close();
        }
        pool.close();
        placer.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
