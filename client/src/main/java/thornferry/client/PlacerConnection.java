package thornferry.client;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.Why;

/**
 * The connection of a client to its placer. After a close it reconnects with exponential backoff
 * and sends the outstanding requests again. All methods run on the client's event loop.
 */
final class PlacerConnection implements ClientConnection.Listener {
    private static final long MIN_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /** The first words of the close reason after which the client does not reconnect. */
    private static final String LOGIN_REJECTED = "login or passcode";

    private final ClientConnection.Target target;
    private final EventLoop loop;
    private final OutstandingRequests requests;
    private final QueryCalls queries;
    private final Consumer<TaskNews> events;
    private Consumer<Why> reasonListener; // null if pending reasons are not watched
    private ClientConnection connection; // null before the first connect and after a close
    private long backoffMillis = MIN_BACKOFF_MILLIS;
    private boolean closed;

    PlacerConnection(
            ClientConnection.Target target,
            EventLoop loop,
            OutstandingRequests requests,
            QueryCalls queries,
            Consumer<TaskNews> events) {
        this.target = target;
        this.loop = loop;
        this.requests = requests;
        this.queries = queries;
        this.events = events;
    }

    /** Connects, unless {@link #close} has been called. */
    void open() {
        if (!closed) {
            connection = ClientConnection.open(loop, target, FrameLimits.DEFAULTS, this);
        }
    }

    /** Returns the connection if it is established. */
    Optional<ClientConnection> openConnection() {
        return Optional.ofNullable(connection).filter(ClientConnection::open);
    }

    /** Passes the pending reasons of the client's tasks to a listener, also after reconnects. */
    void watchReasons(Consumer<Why> listener) {
        reasonListener = listener;
        openConnection().ifPresent(PlacerConnection::subscribeToReasons);
    }

    private static void subscribeToReasons(ClientConnection connection) {
        connection.subscribe("waiting", Destinations.WAITING, "auto");
    }

    /** Breaks the connection without DISCONNECT; reconnects after about the given time. */
    void abort(long reconnectDelayMillis) {
        backoffMillis = Math.max(1, reconnectDelayMillis);
        if (connection != null) {
            connection.cut();
        }
    }

    /** Disconnects and does not reconnect. */
    void close() {
        closed = true;
        if (connection != null) {
            connection.disconnect();
        }
    }

    @Override
    public void connected(ClientConnection opened) {
        backoffMillis = MIN_BACKOFF_MILLIS;
        opened.subscribe("results", Destinations.RESULTS, "auto");
        opened.subscribe("replies", QueryCalls.REPLIES, "auto");
        if (reasonListener != null) {
            subscribeToReasons(opened);
        }
        requests.sendAll(connection);
    }

    @Override
    public void message(ClientConnection source, Frame frame) {
        try {
            switch (frame.header("destination", "")) {
                case QueryCalls.REPLIES -> queries.replyReceived(frame);
                case Destinations.WAITING -> reasonReceived(frame);
                default -> notificationReceived(frame);
            }
        } catch (ProtocolException unsupported) {
            return; // a message of a later protocol version, which this client does not support
        }
    }

    private void reasonReceived(Frame frame) throws ProtocolException {
        if (reasonListener != null) {
            reasonListener.accept(Bodies.read(frame, Why.getDefaultInstance()));
        }
    }

    private void notificationReceived(Frame frame) throws ProtocolException {
        TaskNews notification = Bodies.read(frame, TaskNews.getDefaultInstance());
        if (notification.getResult().isEmpty()) {
            events.accept(notification);
        } else {
            requests.complete(notification);
        }
    }

    @Override
    public void closed(ClientConnection source, String reason) {
        connection = null;
        queries.failAll(reason);
        if (reason.startsWith(LOGIN_REJECTED)) {
            requests.failAll(reason);
            return;
        }
        long jitteredMillis =
                backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
        loop.schedule(this::open, jitteredMillis, TimeUnit.MILLISECONDS);
    }
}
