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
 * transactions, receipts, and an ERROR before the close if the peer violates the protocol. The
 * {@link SessionHandler} handles the content of frames.
 *
 * <p>Everything runs on the connection's event loop.
 */
public final class ServerSession extends SimpleChannelInboundHandler<Frame> {
    private record Subscription(String id, String destination, boolean acks, boolean cumulative) {}

    private record UnacknowledgedMessage(String message, String subscription) {}

    /** Bound of the frames that a peer may send before CONNECTED. */
    private static final int MAX_EARLY_FRAMES = 64;

    private static final int MAX_SUBSCRIPTIONS = 1_000;
    private static final int MAX_UNACKNOWLEDGED = 10_000;
    private static final int MAX_TRANSACTIONS = 16;
    private static final int MAX_FRAMES_IN_TRANSACTION = 256;

    private final SessionHandler handler;
    private final Heartbeat heartbeat;
    private final String server;
    private final int handshakeTimeoutMillis;
    private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<String, List<Frame>> transactions = new HashMap<>();
    private final Map<String, UnacknowledgedMessage> unacknowledged = new LinkedHashMap<>();
    private ChannelHandlerContext ctx;
    private String login;
    private boolean connected;
    private Heartbeat requestedHeartbeat; // of a CONNECT whose login is being checked
    private final List<Frame> earlyFrames = new ArrayList<>();
    private boolean closing;
    private String closeReason = "the peer closed the connection";
    private long messages;
    private Object attachment;

    private ServerSession(
            SessionHandler handler,
            Heartbeat heartbeat,
            String server,
            int handshakeTimeoutMillis) {
        this.handler = handler;
        this.heartbeat = heartbeat;
        this.server = server;
        this.handshakeTimeoutMillis = handshakeTimeoutMillis;
    }

    /**
     * Installs a session on an accepted connection.
     *
     * @param handshakeTimeoutMillis a peer that has not sent CONNECT within this time is
     *     disconnected
     */
    public static void install(
            Channel channel,
            SessionHandler handler,
            FrameLimits limits,
            Heartbeat heartbeat,
            String server,
            int handshakeTimeoutMillis) {
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(
                                limits.maxUnwrittenBytes() / 2, limits.maxUnwrittenBytes()));
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast("flushes", new FlushConsolidationHandler(256, true));
        pipeline.addLast("heartbeat", new HeartbeatHandler());
        Framing.install(pipeline, limits);
        pipeline.addLast(
                "session", new ServerSession(handler, heartbeat, server, handshakeTimeoutMillis));
    }

    /** The login that was authenticated; null before CONNECTED. */
    public String login() {
        return login;
    }

    /** The object that the handler attached to this session; null at first. */
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

    /** Whether messages to this destination are acknowledged by the peer. */
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
            if (!ctx.channel().isWritable() || unacknowledged.size() >= MAX_UNACKNOWLEDGED) {
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
                unacknowledged.put(ack, new UnacknowledgedMessage(messageId, s.id()));
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
                            if (!connected && !closing && requestedHeartbeat == null) {
                                fail("no CONNECT within " + handshakeTimeoutMillis + " ms", null);
                            }
                        },
                        handshakeTimeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (closing) {
            return; // after an ERROR nothing more is taken (specification, "ERROR")
        }
        try {
            if (!connected && requestedHeartbeat != null) {
                if (earlyFrames.size() >= MAX_EARLY_FRAMES) {
                    throw new ProtocolException(
                            "more than " + MAX_EARLY_FRAMES + " frames before CONNECTED");
                }
                earlyFrames.add(frame);
            } else if (!connected) {
                handshake(frame);
            } else {
                process(frame);
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
        requestedHeartbeat = Heartbeat.parse(frame.header("heart-beat"));
        handler.connecting(this, frame.header("login"), frame.header("passcode"));
    }

    /** Admits the peer as {@code name}. Ignored if it has disconnected meanwhile. */
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
                ctx.pipeline(),
                heartbeat.negotiatedSendMillis(requestedHeartbeat),
                heartbeat.negotiatedReceiveMillis(requestedHeartbeat));
        List<Frame> waiting = List.copyOf(earlyFrames);
        earlyFrames.clear();
        waiting.forEach(frame -> channelRead0(ctx, frame));
    }

    /** Where the peer connects from, as a text without its port. */
    public String peerAddress() {
        java.net.SocketAddress from = ctx.channel().remoteAddress();
        return from instanceof java.net.InetSocketAddress inet
                ? inet.getAddress().getHostAddress()
                : String.valueOf(from);
    }

    /** The channel, for the TLS identity of the peer. */
    public Channel channel() {
        return ctx.channel();
    }

    /** Whether the write buffer of the connection has space. */
    public boolean writable() {
        return open() && ctx.channel().isWritable();
    }

    private void process(Frame frame) throws ProtocolException {
        String transaction = frame.header("transaction");
        switch (frame.command()) {
            case SEND, ACK, NACK -> {
                if (transaction != null) {
                    List<Frame> waiting = transaction(transaction);
                    if (waiting.size() >= MAX_FRAMES_IN_TRANSACTION) {
                        throw new ProtocolException(
                                "more than "
                                        + MAX_FRAMES_IN_TRANSACTION
                                        + " frames in a transaction");
                    }
                    waiting.add(frame);
                } else {
                    perform(frame);
                }
            }
            case SUBSCRIBE -> subscribe(frame);
            case UNSUBSCRIBE -> unsubscribe(frame);
            case BEGIN -> {
                requiredHeader(frame, "transaction");
                if (transactions.containsKey(transaction)
                        || transactions.size() >= MAX_TRANSACTIONS) {
                    throw new ProtocolException(
                            transactions.containsKey(transaction)
                                    ? "transaction " + transaction + " has begun already"
                                    : "more than " + MAX_TRANSACTIONS + " transactions");
                }
                transactions.put(transaction, new ArrayList<>());
            }
            case COMMIT -> {
                requiredHeader(frame, "transaction");
                List<Frame> waiting = transaction(transaction);
                transactions.remove(transaction);
                for (Frame each : waiting) {
                    perform(each);
                }
            }
            case ABORT -> {
                requiredHeader(frame, "transaction");
                transaction(transaction);
                transactions.remove(transaction);
            }
            case DISCONNECT -> closeReason = "the peer disconnected";
            default ->
                    throw new ProtocolException(
                            frame.command() + " is not for a client to send now");
        }
        receipt(frame);
        if (frame.command() == StompCommand.DISCONNECT) {
            closing(closeReason);
        }
    }

    private void perform(Frame frame) throws ProtocolException {
        if (frame.command() == StompCommand.SEND) {
            handler.sent(this, requiredHeader(frame, "destination"), frame);
        } else {
            acknowledge(requiredHeader(frame, "id"), frame.command() == StompCommand.ACK);
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
        String id = requiredHeader(frame, "id");
        String destination = requiredHeader(frame, "destination");
        String ack = frame.header("ack", "auto");
        if (!ack.equals("auto") && !ack.equals("client") && !ack.equals("client-individual")) {
            throw new ProtocolException(
                    "ack must be auto, client or client-individual, not " + ack);
        }
        if (subscriptions.containsKey(id)) {
            throw new ProtocolException("subscription " + id + " stands already");
        }
        if (subscriptions.size() >= MAX_SUBSCRIPTIONS) {
            throw new ProtocolException("more than " + MAX_SUBSCRIPTIONS + " subscriptions");
        }
        subscriptions.put(
                id, new Subscription(id, destination, !ack.equals("auto"), ack.equals("client")));
        try {
            handler.subscribed(this, id, destination);
        } catch (ProtocolException e) {
            subscriptions.remove(id);
            throw e;
        }
    }

    private void unsubscribe(Frame frame) throws ProtocolException {
        Subscription ended = subscriptions.remove(requiredHeader(frame, "id"));
        if (ended == null) {
            throw new ProtocolException("no subscription " + frame.header("id"));
        }
        unacknowledged
                .values()
                .removeIf(
                        unacknowledgedMessage ->
                                unacknowledgedMessage.subscription().equals(ended.id()));
        handler.unsubscribed(this, ended.destination());
    }

    private void acknowledge(String id, boolean good) throws ProtocolException {
        UnacknowledgedMessage message = unacknowledged.get(id);
        if (message == null) {
            throw new ProtocolException("no message waits for " + id);
        }
        Subscription s = subscriptions.get(message.subscription());
        List<String> acked = new ArrayList<>();
        for (Map.Entry<String, UnacknowledgedMessage> unacknowledgedMessage :
                unacknowledged.entrySet()) { // in the order sent
            boolean earlier =
                    s != null
                            && s.cumulative()
                            && unacknowledgedMessage.getValue().subscription().equals(s.id());
            if (earlier || unacknowledgedMessage.getKey().equals(id)) {
                acked.add(unacknowledgedMessage.getKey());
            }
            if (unacknowledgedMessage.getKey().equals(id)) {
                break;
            }
        }
        for (String each : acked) {
            handler.acknowledged(this, unacknowledged.remove(each).message(), good);
        }
    }

    private static String requiredHeader(Frame frame, String header) throws ProtocolException {
        String value = frame.header(header);
        if (value == null || value.isEmpty()) {
            throw new ProtocolException(frame.command() + " needs the header " + header);
        }
        return value;
    }

    private void receipt(Frame frame) {
        String receipt = frame.header("receipt");
        // the handler may end the session without throwing: then the frame was not processed, and
        // nothing follows an ERROR
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
    private void closing(String reason) {
        closing = true;
        closeReason = reason;
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
            closeReason = "TLS: " + cause.getCause().getMessage(); // the peer got a TLS alert
            ctx.close();
        } else if (cause instanceof TooLongFrameException) {
            error(new ProtocolException("frame too large", cause.getMessage()), null);
        } else if (cause instanceof DecoderException) {
            error(new ProtocolException("malformed frame", cause.getMessage()), null);
        } else if (cause instanceof IOException) {
            closeReason = "connection broken: " + cause.getMessage();
            ctx.close();
        } else {
            closeReason = "internal error: " + cause;
            error(new ProtocolException("internal error"), null);
            org.slf4j.LoggerFactory.getLogger(ServerSession.class).error("a session failed", cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        if (connected) {
            connected = false;
            handler.closed(this, closeReason);
        }
    }
}
