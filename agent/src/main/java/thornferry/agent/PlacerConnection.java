package thornferry.agent;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;

/**
 * The connection of a node to one placer. It reconnects with exponential backoff and registers the
 * node after each connect. Runs on the node's event loop.
 */
final class PlacerConnection implements ClientConnection.Listener {
    /** The operations of a node that its placer connections use. */
    interface Node {
        String name();

        /** Returns false if the node is crashed or closed, so that it must not connect. */
        boolean isUp();

        boolean isDraining();

        /** Returns the remaining time of a pause of the node; 0 or less if it is not paused. */
        long remainingPauseMicros();

        /** Returns the time of the node's monotonic clock. */
        long nowMicros();

        /** Returns a registration without the attempt history. */
        Register.Builder registration(long now, String placer);

        void orderReceived(PlacerConnection from, Order order);
    }

    private static final Logger LOG = LoggerFactory.getLogger(PlacerConnection.class);
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    private final Node node;
    private final ClientConnection.Target target;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final AttemptHistory history = new AttemptHistory();
    private String placerName = "";
    private ClientConnection connection; // null after a close, until the next attempt to connect
    private long backoffMillis = MIN_BACKOFF_MILLIS;

    PlacerConnection(
            Node node, ClientConnection.Target target, EventLoop loop, SplittableRandom random) {
        this.node = node;
        this.target = target;
        this.loop = loop;
        this.random = random;
    }

    /** Connects, if the node is up. */
    void open() {
        if (node.isUp()) {
            connection = ClientConnection.open(loop, target, FrameLimits.DEFAULTS, this);
        }
    }

    /**
     * Returns the name of the placer; empty until the placer has sent an order that contains it.
     */
    String placerName() {
        return placerName;
    }

    void setPlacerName(String placerName) {
        this.placerName = placerName;
    }

    AttemptHistory history() {
        return history;
    }

    /** Sends an answer if connected; otherwise the answer is lost. */
    void send(Answer answer) {
        if (isOpen()) {
            connection.sendBinary(Destinations.ANSWERS, answer);
        }
    }

    /** Notifies the placer of a drain, if connected. */
    void send(Drain drain) {
        if (isOpen()) {
            connection.sendBinary(Destinations.DRAIN, drain);
        }
    }

    /** Replies to a health check that arrived on the current connection. */
    void send(ProbeReply reply) {
        connection.sendBinary(Destinations.PROBES, reply);
    }

    private boolean isOpen() {
        return connection != null && connection.open();
    }

    /** Breaks the connection without DISCONNECT; the node reconnects after a backoff. */
    void abort() {
        if (connection != null) {
            connection.cut();
        }
    }

    /** Breaks the connection without reconnecting, and clears the attempt history. */
    void abortAndForget() {
        ClientConnection aborted = connection;
        connection = null;
        history.clear();
        if (aborted != null) {
            aborted.cut();
        }
    }

    @Override
    public void connected(ClientConnection opened) {
        backoffMillis = MIN_BACKOFF_MILLIS;
        opened.subscribe("offers", Destinations.offers(node.name()), "auto");
        register(opened);
    }

    private void register(ClientConnection opened) {
        long now = node.nowMicros();
        Register.Builder registration = node.registration(now, placerName);
        history.addTo(now, registration);
        opened.sendBinary(Destinations.REGISTER, registration.build());
        if (node.isDraining()) {
            opened.sendBinary(
                    Destinations.DRAIN,
                    Drain.newBuilder().setNode(node.name()).setOn(true).build());
        }
    }

    @Override
    public void message(ClientConnection source, Frame frame) {
        if (source != connection) {
            return; // from a former connection; the inventory sent since then does not reflect it
        }
        long pauseMicros = node.remainingPauseMicros();
        try {
            Order order = Bodies.read(frame, Order.getDefaultInstance());
            if (pauseMicros > 0) {
                loop.schedule(() -> message(source, frame), pauseMicros, TimeUnit.MICROSECONDS);
            } else {
                node.orderReceived(this, order);
            }
        } catch (ProtocolException invalid) {
            LOG.atWarn()
                    .addKeyValue("node", node.name())
                    .log("ignored an order that cannot be decoded: {}", invalid.getMessage());
        }
    }

    @Override
    public void closed(ClientConnection source, String reason) {
        if (source != connection) {
            return;
        }
        LOG.atDebug()
                .addKeyValue("node", node.name())
                .log("connection to placer {} closed: {}", target.address(), reason);
        connection = null;
        // jitter prevents all nodes of a restarted placer from reconnecting at the same moment
        long jitteredMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        loop.schedule(this::open, jitteredMillis, TimeUnit.MILLISECONDS);
    }
}
