package thornferry.testbed.diagnosis;

import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Load;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;

/**
 * A node that says exactly what its script tells it: so that the truth about it is known from
 * outside.
 */
final class ScriptedNode implements ClientConnection.Listener, AutoCloseable {
    /** Shows as much room as it says, accepts and starts everything. */
    static final Function<Offer, Answer.Kind> WILLING = offer -> Answer.Kind.RUNS;

    /** Never says a word. */
    static final Function<Offer, Answer.Kind> MUTE = offer -> Answer.Kind.UNKNOWN;

    private final String name;
    private final String kind;
    private final double cores;
    private final double memory;
    private final EventLoop loop;
    private final ClientConnection.Target target;
    private final CountDownLatch connected = new CountDownLatch(1);
    private final Map<String, String> running = new ConcurrentHashMap<>(); // task -> attempt
    private volatile ClientConnection connection;
    volatile Function<Offer, Answer.Kind> script = WILLING;
    volatile Answer.Reason reason = Answer.Reason.NONE;
    volatile double coresFree;
    volatile double memoryFree;
    volatile long uptimeMs = 3_600_000;

    ScriptedNode(
            EventLoop loop,
            SocketAddress placer,
            String name,
            String kind,
            double cores,
            double memory) {
        this.loop = loop;
        this.name = name;
        this.kind = kind;
        this.cores = cores;
        this.memory = memory;
        this.coresFree = cores;
        this.memoryFree = memory;
        this.target = new ClientConnection.Target(placer, "node", "n", new Heartbeat(500, 500));
    }

    /** Connects and registers; returns once the placer has taken the registration. */
    ScriptedNode join() throws InterruptedException {
        connection = ClientConnection.open(loop, target, FrameLimits.DEFAULTS, this);
        if (!connected.await(10, TimeUnit.SECONDS)) {
            throw new IllegalStateException("node " + name + " could not register");
        }
        return this;
    }

    private Load load() {
        return Load.newBuilder().setCoresFree(coresFree).setMemoryFree(memoryFree).build();
    }

    @Override
    public void connected(ClientConnection c) {
        c.subscribe("offers", Destinations.offers(name), "auto");
        c.request(
                Destinations.REGISTER,
                Register.newBuilder()
                        .setNode(name)
                        .setIncarnation(1)
                        .setKind(kind)
                        .setZone("hall-a")
                        .setCores(cores)
                        .setMemory(memory)
                        .setUptimeMs(uptimeMs)
                        .setLoad(load())
                        .build(),
                error -> connected.countDown());
    }

    @Override
    public void message(ClientConnection c, Frame frame) {
        try {
            Order order = Bodies.read(frame, Order.newBuilder());
            if (order.hasProbe()) {
                c.send(
                        Destinations.PROBES,
                        ProbeReply.newBuilder()
                                .setNode(name)
                                .setNumber(order.getProbe().getNumber())
                                .setLoad(load())
                                .build());
            } else if (order.hasOffer()) {
                Offer offer = order.getOffer();
                Answer.Kind said = script.apply(offer);
                if (said == Answer.Kind.RUNS) {
                    coresFree -= offer.getTask().getCores();
                    memoryFree -= offer.getTask().getMemory();
                    running.put(offer.getTask().getId(), offer.getAttempt());
                    say(offer.getAttempt(), Answer.Kind.ACCEPTED);
                }
                if (said != Answer.Kind.UNKNOWN) {
                    say(offer.getAttempt(), said);
                }
            }
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private void say(String attempt, Answer.Kind kind) {
        connection.send(
                Destinations.ANSWERS,
                Answer.newBuilder()
                        .setNode(name)
                        .setAttempt(attempt)
                        .setKind(kind)
                        .setReason(kind == Answer.Kind.REFUSED ? reason : Answer.Reason.NONE)
                        .setLoad(load())
                        .build());
    }

    /** Ends a task that it runs; its load then says what is free. */
    void end(String task, double freedCores, double freedMemory) {
        coresFree += freedCores;
        memoryFree += freedMemory;
        say(running.remove(task), Answer.Kind.ENDED);
    }

    void drain(boolean on) {
        connection.send(Destinations.DRAIN, Drain.newBuilder().setNode(name).setOn(on).build());
    }

    /** Breaks the connection, as a cable would. */
    void cut() {
        connection.cut();
    }

    @Override
    public void closed(ClientConnection c, String why) {
        connected.countDown();
    }

    @Override
    public void close() {
        cut();
    }
}
