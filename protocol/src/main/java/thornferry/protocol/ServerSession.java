package thornferry.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.stomp.StompCommand;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;

/**
 * The server's half of one STOMP 1.2 connection: handshake, subscriptions, acknowledgements,
 * transactions, receipts, and an ERROR before the close for whatever the peer does wrong. What the
 * frames mean is the {@link SessionHandler}'s.
 *
 * <p>Everything runs on the connection's event loop.
 */
public final class ServerSession extends SimpleChannelInboundHandler<Frame> {
    /**
     * What stands behind the sessions. An exception refuses the frame: the peer gets an ERROR and
     * is cut off.
     */
    public interface SessionHandler {
        /**
         * Who the peer is. {@code login} and {@code passcode} may be null where it sent none. The
         * answer may come later, on the connection's event loop: {@link #admit} or {@link #fail}.
         */
        void connecting(ServerSession session, String login, String passcode);

        /** A SEND. When it returns, the frame counts as taken and its receipt goes out. */
        void sent(ServerSession session, String destination, Frame frame) throws ProtocolException;

        /** The peer subscribes to a destination. */
        void subscribed(ServerSession session, String id, String destination)
                throws ProtocolException;

        /** The peer ends its subscription to a destination. */
        void unsubscribed(ServerSession session, String destination);

        /** An acknowledgement ({@code good}) or its refusal, for the message of that id. */
        void acknowledged(ServerSession session, String messageId, boolean good);

        /**
         * The connection is over; why, in words. Called once for each session that was admitted.
         */
        void closed(ServerSession session, String why);
    }

    private record Subscription(String id, String destination, boolean acks, boolean cumulative) {}

    private record Unacked(String message, String subscription) {}

    /** Frames that a peer may send before it is told CONNECTED. */
    private static final int MOST_EARLY = 64;

    private static final int MOST_SUBSCRIPTIONS = 1_000;
    private static final int MOST_UNACKED = 10_000;
    private static final int MOST_TRANSACTIONS = 16;
    private static final int MOST_IN_TRANSACTION = 256;

    private final SessionHandler front;
    private final Heartbeat heartbeat;
    private final String server;
    private final int handshakeMs;
    private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<String, List<Frame>> transactions = new HashMap<>();
    private final Map<String, Unacked> unacked = new LinkedHashMap<>();
    private ChannelHandlerContext ctx;
    private String login;
    private boolean connected;
    private Heartbeat asked; // in a CONNECT that is being looked at
    private final List<Frame> early = new ArrayList<>();
    private boolean closing;
    private String why = "the peer closed the connection";
    private long messages;
    private Object attachment;

    private ServerSession(
            SessionHandler front, Heartbeat heartbeat, String server, int handshakeMs) {
        this.front = front;
        this.heartbeat = heartbeat;
        this.server = server;
        this.handshakeMs = handshakeMs;
    }

    /**
     * Makes a session of an accepted connection.
     *
     * @param handshakeMs a peer that has not sent CONNECT after so long is cut off; milliseconds
     */
    public static void install(
            Channel channel,
            SessionHandler front,
            FrameLimits limits,
            Heartbeat heartbeat,
            String server,
            int handshakeMs) {
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(limits.unwritten() / 2, limits.unwritten()));
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast("flushes", new FlushConsolidationHandler(256, true));
        pipeline.addLast("heartbeat", new HeartbeatHandler());
        Framing.install(pipeline, limits);
        pipeline.addLast("session", new ServerSession(front, heartbeat, server, handshakeMs));
    }

    /** The login that was authenticated; null before CONNECTED. */
    public String login() {
        return login;
    }

    /** Whatever the front keeps with this session; null at first. */
    public Object attachment() {
        return attachment;
    }

    /** Attaches an object of the handler to this session. */
    public void attach(Object what) {
        attachment = what;
    }

    /** Whether the peer is connected and the session is not closing. */
    public boolean open() {
        return connected && !closing && ctx.channel().isActive();
    }

    /** Whether the peer has a subscription to this destination. */
    public boolean subscribedTo(String destination) {
        return subscriptions.values().stream().anyMatch(s -> s.destination().equals(destination));
    }

    /** Whether messages to this destination wait for an acknowledgement. */
    public boolean acknowledges(String destination) {
        return subscriptions.values().stream()
                .anyMatch(s -> s.destination().equals(destination) && s.acks());
    }

    /**
     * Sends a MESSAGE to each subscription of the destination.
     *
     * @param messageId names it in a later acknowledgement
     * @return the write of the last of them, or null where nothing could be sent: no such
     *     subscription, a closed session, or a peer that reads too slowly, which is then cut off
     */
    public ChannelFuture message(String destination, String messageId, Frame headersAndBody) {
        if (!open()) {
            return null;
        }
        ChannelFuture last = null;
        for (Subscription s : new ArrayList<>(subscriptions.values())) {
            if (!s.destination().equals(destination)) {
                continue;
            }
            if (!ctx.channel().isWritable() || unacked.size() >= MOST_UNACKED) {
                fail("too slow a reader: messages for you are held back", null);
                return null;
            }
            Frame frame =
                    new Frame(StompCommand.MESSAGE, headersAndBody.headers(), headersAndBody.body())
                            .with("destination", destination)
                            .with("subscription", s.id())
                            .with("message-id", messageId);
            if (s.acks()) {
                String ack = s.id() + "-" + ++messages;
                unacked.put(ack, new Unacked(messageId, s.id()));
                frame = frame.with("ack", ack);
            }
            last = ctx.writeAndFlush(frame);
        }
        return last;
    }

    /** Ends the session with an ERROR. */
    public void fail(String message, String receiptId) {
        error(new ProtocolException(message), receiptId);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context;
        ctx.executor()
                .schedule(
                        () -> {
                            if (!connected && !closing && asked == null) {
                                fail("no CONNECT within " + handshakeMs + " ms", null);
                            }
                        },
                        handshakeMs,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (closing) {
            return; // after an ERROR nothing more is taken (specification, "ERROR")
        }
        try {
            if (!connected && asked != null) {
                if (early.size() >= MOST_EARLY) {
                    throw new ProtocolException(
                            "more than " + MOST_EARLY + " frames before CONNECTED");
                }
                early.add(frame);
            } else if (!connected) {
                handshake(frame);
            } else {
                take(frame);
            }
        } catch (ProtocolException e) {
            error(e, frame.header("receipt"));
        }
    }

    private void handshake(Frame frame) throws ProtocolException {
        if (frame.command() != StompCommand.CONNECT && frame.command() != StompCommand.STOMP) {
            throw new ProtocolException(
                    "the first frame must be CONNECT or STOMP, not " + frame.command());
        }
        String versions = frame.header("accept-version", "1.0");
        if (!Arrays.asList(versions.split(",")).contains("1.2")) {
            ctx.write(
                    Frame.of(
                            StompCommand.ERROR,
                            "version",
                            "1.2",
                            "message",
                            "supported version: 1.2",
                            "content-type",
                            "text/plain"));
            closing("no common version");
            return;
        }
        asked = Heartbeat.parse(frame.header("heart-beat"));
        front.connecting(this, frame.header("login"), frame.header("passcode"));
    }

    /** The peer is let in, as {@code name}. Ignored where it has gone meanwhile. */
    public void admit(String name) {
        if (closing || connected) {
            return;
        }
        login = name;
        connected = true;
        ctx.writeAndFlush(
                Frame.of(
                        StompCommand.CONNECTED,
                        "version",
                        "1.2",
                        "heart-beat",
                        heartbeat.header(),
                        "server",
                        server,
                        "session",
                        ctx.channel().id().asShortText()));
        HeartbeatHandler.start(
                ctx.pipeline(), heartbeat.sendEvery(asked), heartbeat.hearEvery(asked));
        List<Frame> waiting = List.copyOf(early);
        early.clear();
        waiting.forEach(frame -> channelRead0(ctx, frame));
    }

    /** Where the peer connects from, as a text without its port. */
    public String peerAddress() {
        java.net.SocketAddress from = ctx.channel().remoteAddress();
        return from instanceof java.net.InetSocketAddress inet
                ? inet.getAddress().getHostAddress()
                : String.valueOf(from);
    }

    /** The connection beneath, for what TLS knows of the peer. */
    public Channel channel() {
        return ctx.channel();
    }

    /** Whether the peer reads as fast as it is written to. */
    public boolean writable() {
        return open() && ctx.channel().isWritable();
    }

    private void take(Frame frame) throws ProtocolException {
        String transaction = frame.header("transaction");
        switch (frame.command()) {
            case SEND, ACK, NACK -> {
                if (transaction != null) {
                    List<Frame> waiting = transaction(transaction);
                    if (waiting.size() >= MOST_IN_TRANSACTION) {
                        throw new ProtocolException(
                                "more than " + MOST_IN_TRANSACTION + " frames in a transaction");
                    }
                    waiting.add(frame);
                } else {
                    perform(frame);
                }
            }
            case SUBSCRIBE -> subscribe(frame);
            case UNSUBSCRIBE -> unsubscribe(frame);
            case BEGIN -> {
                need(frame, "transaction");
                if (transactions.containsKey(transaction)
                        || transactions.size() >= MOST_TRANSACTIONS) {
                    throw new ProtocolException(
                            transactions.containsKey(transaction)
                                    ? "transaction " + transaction + " has begun already"
                                    : "more than " + MOST_TRANSACTIONS + " transactions");
                }
                transactions.put(transaction, new ArrayList<>());
            }
            case COMMIT -> {
                need(frame, "transaction");
                List<Frame> waiting = transaction(transaction);
                transactions.remove(transaction);
                for (Frame each : waiting) {
                    perform(each);
                }
            }
            case ABORT -> {
                need(frame, "transaction");
                transaction(transaction);
                transactions.remove(transaction);
            }
            case DISCONNECT -> why = "the peer disconnected";
            default ->
                    throw new ProtocolException(
                            frame.command() + " is not for a client to send now");
        }
        receipt(frame);
        if (frame.command() == StompCommand.DISCONNECT) {
            closing(why);
        }
    }

    private void perform(Frame frame) throws ProtocolException {
        if (frame.command() == StompCommand.SEND) {
            front.sent(this, need(frame, "destination"), frame);
        } else {
            acknowledge(need(frame, "id"), frame.command() == StompCommand.ACK);
        }
    }

    private List<Frame> transaction(String name) throws ProtocolException {
        List<Frame> waiting = transactions.get(name);
        if (waiting == null) {
            throw new ProtocolException("no transaction " + name + " has begun");
        }
        return waiting;
    }

    private void subscribe(Frame frame) throws ProtocolException {
        String id = need(frame, "id");
        String destination = need(frame, "destination");
        String ack = frame.header("ack", "auto");
        if (!ack.equals("auto") && !ack.equals("client") && !ack.equals("client-individual")) {
            throw new ProtocolException(
                    "ack must be auto, client or client-individual, not " + ack);
        }
        if (subscriptions.containsKey(id)) {
            throw new ProtocolException("subscription " + id + " stands already");
        }
        if (subscriptions.size() >= MOST_SUBSCRIPTIONS) {
            throw new ProtocolException("more than " + MOST_SUBSCRIPTIONS + " subscriptions");
        }
        subscriptions.put(
                id, new Subscription(id, destination, !ack.equals("auto"), ack.equals("client")));
        try {
            front.subscribed(this, id, destination);
        } catch (ProtocolException e) {
            subscriptions.remove(id);
            throw e;
        }
    }

    private void unsubscribe(Frame frame) throws ProtocolException {
        Subscription gone = subscriptions.remove(need(frame, "id"));
        if (gone == null) {
            throw new ProtocolException("no subscription " + frame.header("id"));
        }
        unacked.values().removeIf(u -> u.subscription().equals(gone.id()));
        front.unsubscribed(this, gone.destination());
    }

    private void acknowledge(String id, boolean good) throws ProtocolException {
        Unacked one = unacked.get(id);
        if (one == null) {
            throw new ProtocolException("no message waits for " + id);
        }
        Subscription s = subscriptions.get(one.subscription());
        List<String> acked = new ArrayList<>();
        for (Map.Entry<String, Unacked> u : unacked.entrySet()) { // in the order sent
            boolean earlier =
                    s != null && s.cumulative() && u.getValue().subscription().equals(s.id());
            if (earlier || u.getKey().equals(id)) {
                acked.add(u.getKey());
            }
            if (u.getKey().equals(id)) {
                break;
            }
        }
        for (String each : acked) {
            front.acknowledged(this, unacked.remove(each).message(), good);
        }
    }

    private static String need(Frame frame, String header) throws ProtocolException {
        String value = frame.header(header);
        if (value == null || value.isEmpty()) {
            throw new ProtocolException(frame.command() + " needs the header " + header);
        }
        return value;
    }

    private void receipt(Frame frame) {
        String receipt = frame.header("receipt");
        // a front may end the session without throwing: then the frame was not taken, and nothing
        // follows an ERROR
        if (receipt != null && !closing) {
            ctx.writeAndFlush(Frame.of(StompCommand.RECEIPT, "receipt-id", receipt));
        }
    }

    private void error(ProtocolException e, String receiptId) {
        if (closing) {
            return;
        }
        Frame frame =
                Frame.of(StompCommand.ERROR, "message", e.getMessage(), "receipt-id", receiptId);
        if (!e.detail().isEmpty()) {
            frame =
                    frame.withBody(
                            "text/plain",
                            e.detail().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        }
        ctx.write(frame);
        closing(e.getMessage());
    }

    /**
     * Closes once what is written has gone out, or after a second for a peer that does not read.
     */
    private void closing(String because) {
        closing = true;
        why = because;
        ctx.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(done -> ctx.close());
        ctx.executor().schedule(() -> ctx.close(), 1, TimeUnit.SECONDS);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == HeartbeatHandler.PeerSilent.INSTANCE) {
            fail("silent for longer than the heart-beat agreed", null);
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause.getCause() instanceof SSLException) {
            why = "TLS: " + cause.getCause().getMessage(); // the alert has told the peer
            ctx.close();
        } else if (cause instanceof TooLongFrameException) {
            error(new ProtocolException("frame too large", cause.getMessage()), null);
        } else if (cause instanceof DecoderException) {
            error(new ProtocolException("malformed frame", cause.getMessage()), null);
        } else if (cause instanceof IOException) {
            why = "connection broken: " + cause.getMessage();
            ctx.close();
        } else {
            why = "internal error: " + cause;
            error(new ProtocolException("internal error"), null);
            org.slf4j.LoggerFactory.getLogger(ServerSession.class).error("a session failed", cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        if (connected) {
            connected = false;
            front.closed(this, why);
        }
    }
}
