package thornferry.agent;

import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.Task;

/**
 * One node: a connection to each placer of its list, kept up by dialling again, around a {@link
 * NodeEmulator}. The node needs no open port. All of it runs on one event loop; methods may be
 * called from any thread.
 */
public final class NodeAgent {
    /** Sees what passes, for measurements; called on the node's event loop. */
    public interface Watcher {
        Watcher NONE = new Watcher() {};

        default void offered(String node, Order order) {}

        default void said(String node, Answer answer) {}
    }

    private static final Logger LOG = LoggerFactory.getLogger(NodeAgent.class);
    private static final long REDIAL_LEAST_MS = 50;
    private static final long REDIAL_MOST_MS = 2_000;

    private final class Dial implements ClientConnection.Listener {
        final SocketAddress placer;
        final AttemptHistory memory = new AttemptHistory();
        String name = "";
        ClientConnection connection;
        long wait = REDIAL_LEAST_MS;

        Dial(SocketAddress placer) {
            this.placer = placer;
        }

        void open() {
            if (!closed && !down) {
                connection =
                        ClientConnection.open(
                                loop,
                                new ClientConnection.Target(
                                        placer, login, passcode, heartbeat, tls),
                                limits,
                                this);
            }
        }

        @Override
        public void connected(ClientConnection c) {
            wait = REDIAL_LEAST_MS;
            c.subscribe("offers", Destinations.offers(shape.node()), "auto");
            register(c);
        }

        private void register(ClientConnection c) {
            long now = now();
            Register.Builder r =
                    Register.newBuilder()
                            .setNode(shape.node())
                            .setIncarnation(model.incarnation())
                            .setKind(shape.kind())
                            .setZone(shape.zone())
                            .setCell(shape.cell())
                            .setCores(shape.cores())
                            .setMemory(shape.memory())
                            .setUptimeMs(model.uptime(now) / 1_000)
                            .addAllHeld(model.inventory(name))
                            .setLoad(model.load());
            memory.tell(now, r);
            c.sendBinary(Destinations.REGISTER, r.build());
            if (model.draining()) {
                c.sendBinary(
                        Destinations.DRAIN,
                        Drain.newBuilder().setNode(shape.node()).setOn(true).build());
            }
        }

        @Override
        public void message(ClientConnection c, Frame frame) {
            if (c != connection) {
                return; // of a connection given up: the inventory has been told without it
            }
            try {
                Order order = Bodies.read(frame, Order.newBuilder());
                if (pausedUntil > now()) {
                    loop.schedule(
                            () -> message(c, frame), pausedUntil - now(), TimeUnit.MICROSECONDS);
                } else {
                    take(this, order);
                }
            } catch (ProtocolException e) {
                LOG.atWarn()
                        .addKeyValue("node", shape.node())
                        .log("an order is void: {}", e.getMessage());
            }
        }

        @Override
        public void closed(ClientConnection c, String why) {
            if (c != connection) {
                return;
            }
            LOG.atDebug()
                    .addKeyValue("node", shape.node())
                    .log("connection to {} over: {}", placer, why);
            connection = null;
            // spread, so that the nodes of a placer that restarts do not all dial in the same
            // moment
            long spread = wait / 2 + random.nextLong(wait / 2 + 1);
            wait = Math.min(REDIAL_MOST_MS, wait * 2);
            loop.schedule(this::open, spread, TimeUnit.MILLISECONDS);
        }

        void say(Answer answer) {
            if (connection != null && connection.open()) {
                connection.sendBinary(Destinations.ANSWERS, answer);
            }
        }
    }

    private final NodeShape shape;
    private final NodeBehavior behaviour;
    private final ZoneIdempotencyKeys keys;
    private final EventLoop loop;
    private final String login;
    private final String passcode;
    private final Heartbeat heartbeat;
    private final FrameLimits limits;
    private final Watcher watcher;
    private final SslContext tls; // null for plain text
    private final long seed;
    private final SplittableRandom random;
    private final List<Dial> dials = new ArrayList<>();
    private final Map<String, Dial> byName = new HashMap<>();
    private NodeEmulator model;
    private boolean closed;
    private boolean down;
    private long pausedUntil;
    private long wakeAt = Long.MAX_VALUE;
    private double answersLost;

    NodeAgent(
            NodeShape shape,
            NodeBehavior behaviour,
            ZoneIdempotencyKeys keys,
            EventLoop loop,
            List<SocketAddress> placers,
            String login,
            String passcode,
            Heartbeat heartbeat,
            FrameLimits limits,
            long seed,
            Watcher watcher,
            SslContext tls,
            boolean warm) {
        this.tls = tls;
        this.shape = shape;
        this.behaviour = behaviour;
        this.keys = keys;
        this.loop = loop;
        this.login = login;
        this.passcode = passcode;
        this.heartbeat = heartbeat;
        this.limits = limits;
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.watcher = watcher;
        this.model =
                new NodeEmulator(
                        shape, behaviour, keys, seed, now(), System.currentTimeMillis(), warm);
        placers.forEach(p -> dials.add(new Dial(p)));
    }

    private static long now() {
        return System.nanoTime() / 1_000;
    }

    public NodeShape shape() {
        return shape;
    }

    void start() {
        loop.execute(() -> dials.forEach(Dial::open));
    }

    private void take(Dial from, Order order) {
        long now = now();
        watcher.offered(shape.node(), order);
        switch (order.getOrderCase()) {
            case OFFER -> {
                from.name = order.getOffer().getPlacer();
                byName.put(from.name, from);
                model.offer(now, order.getOffer(), this::say);
            }
            case WITHDRAW -> {
                byName.putIfAbsent(from.name, from);
                model.withdraw(now, from.name, order.getWithdraw().getAttempt(), this::say);
            }
            case PROBE ->
                    from.connection.sendBinary(
                            Destinations.PROBES,
                            ProbeReply.newBuilder()
                                    .setNode(shape.node())
                                    .setNumber(order.getProbe().getNumber())
                                    .setLoad(model.load())
                                    .build());
            case DRAIN -> model.drain(now, order.getDrain().getOn(), this::say);
            case WELCOME -> {
                from.name = order.getWelcome().getPlacer();
                byName.put(from.name, from);
                from.memory.keepFor(order.getWelcome().getRememberMs() * 1_000);
            }
            default -> {} // an order of a later version: not understood, so not obeyed
        }
        afterwards();
    }

    private void say(NodeEmulator.AttemptReport s) {
        Answer.Builder answer =
                Answer.newBuilder()
                        .setNode(shape.node())
                        .setAttempt(s.attempt())
                        .setKind(s.kind())
                        .setReason(s.reason())
                        .setRan(s.ran());
        if (s.kind() == Answer.Kind.USES) {
            answer.setCoresUsed(s.coresUsed()).setMemoryUsed(s.memoryUsed());
        } else {
            answer.setLoad(model.load());
        }
        Answer a = answer.build();
        Dial to = byName.get(s.placer());
        if (to != null && s.offer().hasTask() && over(s.kind())) {
            Task task = s.offer().getTask();
            to.memory.over(
                    now(),
                    a.toBuilder()
                            .setOwner(s.offer().getOwner())
                            .setTask(task)
                            .setEffect(s.offer().getEffect())
                            .build());
        }
        if (s.silent()) {
            return;
        }
        watcher.said(shape.node(), a);
        boolean lost =
                answersLost > 0
                        && random.nextDouble() < answersLost
                        && (s.kind() == Answer.Kind.ACCEPTED || s.kind() == Answer.Kind.RUNS);
        if (to != null && !lost) {
            to.say(a);
        }
    }

    private static boolean over(Answer.Kind kind) {
        return kind != Answer.Kind.ACCEPTED && kind != Answer.Kind.RUNS && kind != Answer.Kind.USES;
    }

    private void afterwards() {
        if (model.fallen()) {
            LOG.atWarn().addKeyValue("node", shape.node()).log("pushed over while cold: down");
            crash(Long.MAX_VALUE);
            return;
        }
        long next = model.next();
        if (next < wakeAt) {
            wakeAt = next;
            loop.schedule(this::wake, Math.max(0, next - now()), TimeUnit.MICROSECONDS);
        }
    }

    private void wake() {
        wakeAt = Long.MAX_VALUE;
        if (closed || down) {
            return;
        }
        if (pausedUntil > now()) {
            wakeAt = pausedUntil;
            loop.schedule(this::wake, pausedUntil - now(), TimeUnit.MICROSECONDS);
            return;
        }
        model.tick(now(), this::say);
        afterwards();
    }

    // ---- troubles, for scripted days ----
    /**
     * Dies without a word and comes back cold, in a new incarnation, after so long; MAX_VALUE for
     * never.
     */
    public void crash(long downMs) {
        loop.execute(
                () -> {
                    if (down) {
                        return;
                    }
                    down = true;
                    dials.forEach(
                            d -> {
                                ClientConnection c = d.connection;
                                d.connection = null;
                                d.memory.clear();
                                if (c != null) {
                                    c.cut();
                                }
                            });
                    long incarnation =
                            Math.max(model.incarnation() + 1, System.currentTimeMillis());
                    if (downMs < Long.MAX_VALUE) {
                        loop.schedule(
                                () -> {
                                    down = false;
                                    model =
                                            new NodeEmulator(
                                                    shape,
                                                    behaviour,
                                                    keys,
                                                    seed,
                                                    now(),
                                                    incarnation,
                                                    false);
                                    dials.forEach(Dial::open);
                                },
                                downMs,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Stands still: takes no orders and does no work, but its connections stay. */
    public void pause(long millis) {
        loop.execute(() -> pausedUntil = now() + millis * 1_000);
    }

    /** Breaks all connections; the node and its work go on. */
    public void cutConnections() {
        loop.execute(
                () ->
                        dials.forEach(
                                d -> {
                                    if (d.connection != null) {
                                        d.connection.cut();
                                    }
                                }));
    }

    public void mute(String taskClass, long millis) {
        loop.execute(() -> model.mute(taskClass, now() + millis * 1_000));
    }

    /** This part of the acceptances and first signs of running is never sent. */
    public void loseAnswers(double part) {
        loop.execute(() -> answersLost = part);
    }

    public void preempt(int most) {
        loop.execute(
                () -> {
                    model.preempt(now(), most, this::say);
                    afterwards();
                });
    }

    /** Drains of its own accord and tells its placers. */
    public void drain(boolean on) {
        loop.execute(
                () -> {
                    model.drain(now(), on, this::say);
                    Drain drain = Drain.newBuilder().setNode(shape.node()).setOn(on).build();
                    dials.stream()
                            .filter(d -> d.connection != null && d.connection.open())
                            .forEach(d -> d.connection.sendBinary(Destinations.DRAIN, drain));
                });
    }

    void close() {
        loop.execute(
                () -> {
                    closed = true;
                    dials.stream()
                            .filter(d -> d.connection != null)
                            .forEach(d -> d.connection.cut());
                });
    }

    /** How many tasks and offers it holds now. */
    public int held() {
        return loop.submit(() -> model.held()).syncUninterruptibly().getNow();
    }
}
