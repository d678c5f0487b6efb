package thornferry.agent;

import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;

/**
 * The agent of one node: connects a {@link NodeEmulator} with each of the node's placers. The agent
 * listens on no port. All state is confined to one event loop; public methods may be called from
 * any thread and take effect asynchronously.
 */
public final class NodeAgent {
    /** Observes the messages of a node, for measurements; called on the node's event loop. */
    public interface Watcher {
        /** A watcher that ignores all messages. */
        Watcher NONE = new Watcher() {};

        /** Called when the node has received an order from a placer. */
        default void orderReceived(String node, Order order) {}

        /** Called before the node sends an answer; fault injection or a disconnect may drop it. */
        default void answerSent(String node, Answer answer) {}
    }

    /**
     * Objects that a node shares with other nodes of its pool.
     *
     * @param loop event loop of the node
     * @param keys idempotency keys of all zones
     * @param tls TLS context of the connections to placers; null for plain text
     */
    record Environment(EventLoop loop, ZoneIdempotencyKeys keys, SslContext tls) {}

    private static final Logger LOG = LoggerFactory.getLogger(NodeAgent.class);
    private static final long NEVER = Long.MAX_VALUE;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final NodeShape shape;
    private final NodeBehavior behavior;
    private final ZoneIdempotencyKeys keys;
    private final EventLoop loop;
    private final Watcher watcher;
    private final long seed;
    private final SplittableRandom random;
    private final List<PlacerConnection> connections = new ArrayList<>();
    private final Map<String, PlacerConnection> connectionByPlacer = new HashMap<>();
    private NodeEmulator emulator;
    private boolean closed;
    private boolean crashed;
    private long pausedUntilMicros;
    private long timerDueMicros = NEVER;
    private double dropRate;

    NodeAgent(
            NodeShape shape,
            NodeBehavior behavior,
            PlacerLogin login,
            Environment environment,
            long seed,
            Watcher watcher,
            boolean warm) {
        this.shape = shape;
        this.behavior = behavior;
        this.keys = environment.keys();
        this.loop = environment.loop();
        this.seed = seed;
        this.random = new SplittableRandom(seed);
        this.watcher = watcher;
        this.emulator = newEmulator(System.currentTimeMillis(), warm);
        ConnectedNode connectedNode = new ConnectedNode();
        login.placers()
                .forEach(
                        placer ->
                                connections.add(
                                        new PlacerConnection(
                                                connectedNode,
                                                new ClientConnection.Target(
                                                        placer,
                                                        login.login(),
                                                        login.passcode(),
                                                        login.heartbeat(),
                                                        environment.tls()),
                                                loop,
                                                random)));
    }

    private NodeEmulator newEmulator(long incarnation, boolean warm) {
        return new NodeEmulator(shape, behavior, keys, seed, nowMicros(), incarnation, warm);
    }

    private static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /** Returns the identity, location and size of the node. */
    public NodeShape shape() {
        return shape;
    }

    void start() {
        loop.execute(() -> connections.forEach(PlacerConnection::open));
    }

    void close() {
        loop.execute(
                () -> {
                    closed = true;
                    connections.forEach(PlacerConnection::abort);
                });
    }

    /** Starts or ends a drain that the node itself initiates, and notifies its placers. */
    public void drain(boolean on) {
        loop.execute(
                () -> {
                    emulator.drain(nowMicros(), on, this::report);
                    Drain drain = Drain.newBuilder().setNode(shape.name()).setOn(on).build();
                    connections.forEach(connection -> connection.send(drain));
                });
    }

    // ---- orders of placers ----

    /** Gives the placer connections access to this node. */
    private final class ConnectedNode implements PlacerConnection.Node {
        @Override
        public String name() {
            return shape.name();
        }

        @Override
        public boolean isUp() {
            return NodeAgent.this.isUp();
        }

        @Override
        public boolean isDraining() {
            return emulator.isDraining();
        }

        @Override
        public long remainingPauseMicros() {
            return pausedUntilMicros - NodeAgent.nowMicros();
        }

        @Override
        public long nowMicros() {
            return NodeAgent.nowMicros();
        }

        @Override
        public Register.Builder registration(long now, String placer) {
            return Register.newBuilder()
                    .setNode(shape.name())
                    .setIncarnation(emulator.incarnation())
                    .setKind(shape.kind())
                    .setZone(shape.zone())
                    .setCell(shape.cell())
                    .setCores(shape.cores())
                    .setMemory(shape.memory())
                    .setUptimeMs(emulator.uptimeMicros(now) / MICROS_PER_MILLI)
                    .addAllHeld(emulator.inventory(placer))
                    .setLoad(emulator.load());
        }

        @Override
        public void orderReceived(PlacerConnection from, Order order) {
            watcher.orderReceived(shape.name(), order);
            execute(from, order);
            applyCrashOrScheduleTick();
        }
    }

    private boolean isUp() {
        return !closed && !crashed;
    }

    private void execute(PlacerConnection from, Order order) {
        long now = nowMicros();
        switch (order.getOrderCase()) {
            case OFFER -> {
                setPlacerName(from, order.getOffer().getPlacer());
                emulator.offer(now, order.getOffer(), this::report);
            }
            case WITHDRAW -> {
                connectionByPlacer.putIfAbsent(from.placerName(), from);
                String attempt = order.getWithdraw().getAttempt();
                emulator.cancel(now, from.placerName(), attempt, this::report);
            }
            case PROBE ->
                    from.send(
                            ProbeReply.newBuilder()
                                    .setNode(shape.name())
                                    .setNumber(order.getProbe().getNumber())
                                    .setLoad(emulator.load())
                                    .build());
            case DRAIN -> emulator.drain(now, order.getDrain().getOn(), this::report);
            case WELCOME -> {
                setPlacerName(from, order.getWelcome().getPlacer());
                from.history().retainFor(order.getWelcome().getRememberMs() * MICROS_PER_MILLI);
            }
            default -> {} // an order of a later protocol version, which this node does not support
        }
    }

    private void setPlacerName(PlacerConnection connection, String placer) {
        connection.setPlacerName(placer);
        connectionByPlacer.put(placer, connection);
    }

    // ---- reports to placers ----

    private void report(AttemptReport report) {
        Answer answer = answer(report);
        PlacerConnection connection = connectionByPlacer.get(report.placer());
        if (connection != null && report.offer().hasTask() && report.isFinal()) {
            Answer withOffer =
                    answer.toBuilder()
                            .setOwner(report.offer().getOwner())
                            .setTask(report.offer().getTask())
                            .setEffect(report.offer().getEffect())
                            .build();
            connection.history().add(nowMicros(), withOffer);
        }
        if (report.silent()) {
            return;
        }
        watcher.answerSent(shape.name(), answer);
        boolean dropped = isDropped(report.kind());
        if (connection != null && !dropped) {
            connection.send(answer);
        }
    }

    private Answer answer(AttemptReport report) {
        Answer.Builder answer =
                Answer.newBuilder()
                        .setNode(shape.name())
                        .setAttempt(report.attempt())
                        .setKind(report.kind())
                        .setReason(report.reason())
                        .setRan(report.ran());
        if (report.kind() == Answer.Kind.USES) {
            answer.setCoresUsed(report.coresUsed()).setMemoryUsed(report.memoryUsed());
        } else {
            answer.setLoad(emulator.load());
        }
        return answer.build();
    }

    /**
     * Returns true if fault injection drops the answer. A random number is drawn for answers of
     * every kind, so that the sequence of random numbers does not depend on the kinds.
     */
    private boolean isDropped(Answer.Kind kind) {
        return dropRate > 0
                && random.nextDouble() < dropRate
                && (kind == Answer.Kind.ACCEPTED || kind == Answer.Kind.RUNS);
    }

    // ---- timer of the emulator ----

    private void applyCrashOrScheduleTick() {
        if (emulator.isCrashed()) {
            LOG.atWarn()
                    .addKeyValue("node", shape.name())
                    .log("node crashed: it was offered too many tasks during slow start");
            crash(NEVER);
            return;
        }
        long nextTickMicros = emulator.nextTick();
        if (nextTickMicros < timerDueMicros) {
            scheduleTimer(nextTickMicros, Math.max(0, nextTickMicros - nowMicros()));
        }
    }

    private void scheduleTimer(long atMicros, long delayMicros) {
        timerDueMicros = atMicros;
        loop.schedule(this::timerExpired, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void timerExpired() {
        timerDueMicros = NEVER;
        if (!isUp()) {
            return;
        }
        long now = nowMicros();
        if (pausedUntilMicros > now) {
            scheduleTimer(pausedUntilMicros, pausedUntilMicros - now);
            return;
        }
        emulator.tick(now, this::report);
        applyCrashOrScheduleTick();
    }

    // ---- fault injection ----

    /**
     * Crashes the node without notifying its placers.
     *
     * @param downMillis time after which a new incarnation begins in slow start; {@code
     *     Long.MAX_VALUE} for never
     */
    public void crash(long downMillis) {
        loop.execute(
                () -> {
                    if (crashed) {
                        return;
                    }
                    crashed = true;
                    connections.forEach(PlacerConnection::abortAndForget);
                    long incarnation =
                            Math.max(emulator.incarnation() + 1, System.currentTimeMillis());
                    if (downMillis < NEVER) {
                        loop.schedule(
                                () -> restart(incarnation), downMillis, TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void restart(long incarnation) {
        crashed = false;
        emulator = newEmulator(incarnation, false);
        connections.forEach(PlacerConnection::open);
    }

    /**
     * Pauses the node: for the given time, orders are not processed and tasks make no progress,
     * while the connections stay open.
     */
    public void pause(long millis) {
        loop.execute(() -> pausedUntilMicros = nowMicros() + millis * MICROS_PER_MILLI);
    }

    /** Breaks all connections; the tasks continue, and the node reconnects. */
    public void breakConnections() {
        loop.execute(() -> connections.forEach(PlacerConnection::abort));
    }

    /** For the given time, processes offers of one task class without sending reports on them. */
    public void mute(String taskClass, long millis) {
        loop.execute(() -> emulator.mute(taskClass, nowMicros() + millis * MICROS_PER_MILLI));
    }

    /** Drops a fraction of the answers that a task was accepted or runs; 0 for none. */
    public void dropAnswers(double fraction) {
        loop.execute(() -> dropRate = fraction);
    }

    /**
     * Evicts the running tasks among the newest attempts.
     *
     * @param maxAttempts number of newest attempts that are considered
     */
    public void preempt(int maxAttempts) {
        loop.execute(
                () -> {
                    emulator.preempt(nowMicros(), maxAttempts, this::report);
                    applyCrashOrScheduleTick();
                });
    }
}
