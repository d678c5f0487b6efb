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
 * The server side of one STOMP 1.2 connection: handshake, subscriptions, acknowledgements,
 * transactions and receipts. A peer that violates the protocol receives an ERROR before the
 * connection is closed. The {@link SessionHandler} processes the content of frames.
 *
 * <p>All methods must be called on the connection's event loop.
 */
public final class ServerSession extends SimpleChannelInboundHandler<Frame> {
    private record Subscription(
            String id, String destination, boolean requiresAck, boolean cumulativeAck) {}

    private record UnacknowledgedMessage(String messageId, String subscriptionId) {}

    /** Maximum number of frames that a peer may send between CONNECT and CONNECTED. */
    private static final int MAX_EARLY_FRAMES = 64;

    private static final int MAX_SUBSCRIPTIONS = 1_000;
    private static final int MAX_UNACKNOWLEDGED = 10_000;
    private static final int MAX_TRANSACTIONS = 16;
    private static final int MAX_FRAMES_IN_TRANSACTION = 256;

    private final SessionHandler handler;
    private final Heartbeat heartbeat;
    private final String server;
    private final int handshakeTimeoutMillis;
    private final Map<String, Subscription> subscriptionById = new LinkedHashMap<>();
    private final Map<String, List<Frame>> framesByTransaction = new HashMap<>();
    private final Map<String, UnacknowledgedMessage> unacknowledgedByAckId = new LinkedHashMap<>();
    private ChannelHandlerContext ctx;
    private String login;
    private boolean connected;
    private Heartbeat requestedHeartbeat; // of the CONNECT frame; null before it
    private final List<Frame> earlyFrames = new ArrayList<>(); // deferred until CONNECTED
    private boolean closing;
    private String closeReason = "the peer closed the connection";
    private long lastAckNumber;
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
     * @param heartbeat heartbeat intervals that the server proposes
     * @param server value of the {@code server} header in CONNECTED
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

    /** Returns the authenticated login; null before CONNECTED. */
    public String login() {
        return login;
    }

    /** Returns the object that the handler attached to this session; null if there is none. */
    public Object attachment() {
        return attachment;
    }

    /** Attaches an object to this session on behalf of the handler. */
    public void attach(Object newAttachment) {
        attachment = newAttachment;
    }

    /** Returns true if the peer is connected and the session is not closing. */
    public boolean open() {
        return connected && !closing && ctx.channel().isActive();
    }

    /** Returns true if the peer has a subscription to the destination. */
    public boolean subscribedTo(String destination) {
        return subscriptionById.values().stream()
                .anyMatch(s -> s.destination().equals(destination));
    }

    /** Returns true if a subscription of the peer to the destination requires acknowledgements. */
    public boolean acknowledges(String destination) {
        return subscriptionById.values().stream()
                .anyMatch(s -> s.destination().equals(destination) && s.requiresAck());
    }

    /**
     * Sends a MESSAGE to each subscription of the destination.
     *
     * @param messageId passed to {@link SessionHandler#acknowledged} when the peer acknowledges the
     *     message
     * @return the future of the last write, or null if there is no such subscription, the session
     *     is closed, or the peer reads too slowly; a slow peer is then disconnected
     */
    public ChannelFuture message(String destination, String messageId, Frame headersAndBody) {
        if (!open()) {
            return null;
        }
        ChannelFuture lastWrite = null;
        for (Subscription s : new ArrayList<>(subscriptionById.values())) {
            if (!s.destination().equals(destination)) {
                continue;
            }
            if (!ctx.channel().isWritable() || unacknowledgedByAckId.size() >= MAX_UNACKNOWLEDGED) {
                fail("too slow a reader: messages for you are held back", null);
                return null;
            }
            Frame frame =
                    new Frame(StompCommand.MESSAGE, headersAndBody.headers(), headersAndBody.body())
                            .with("destination", destination)
                            .with("subscription", s.id())
                            .with("message-id", messageId);
            if (s.requiresAck()) {
                String ackId = s.id() + "-" + ++lastAckNumber;
                unacknowledgedByAckId.put(ackId, new UnacknowledgedMessage(messageId, s.id()));
                frame = frame.with("ack", ackId);
            }
            lastWrite = ctx.writeAndFlush(frame);
        }
        return lastWrite;
    }

    /** Sends an ERROR and closes the session. */
    public void fail(String message, String receiptId) {
        sendErrorAndClose(new ProtocolException(message), receiptId);
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
            return; // no frames are processed after an ERROR (specification, "ERROR")
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
            sendErrorAndClose(e, frame.header("receipt"));
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
            closeAfterWrites("no common version");
            return;
        }
        requestedHeartbeat = Heartbeat.parse(frame.header("heart-beat"));
        handler.connecting(this, frame.header("login"), frame.header("passcode"));
    }

    /**
     * Sends CONNECTED and processes the deferred frames. Has no effect if the peer has disconnected
     * meanwhile.
     *
     * @param name the authenticated login
     */
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
        List<Frame> deferredFrames = List.copyOf(earlyFrames);
        earlyFrames.clear();
        deferredFrames.forEach(frame -> channelRead0(ctx, frame));
    }

    /** Returns the address of the peer as text, without the port. */
    public String peerAddress() {
        java.net.SocketAddress address = ctx.channel().remoteAddress();
        return address instanceof java.net.InetSocketAddress inet
                ? inet.getAddress().getHostAddress()
                : String.valueOf(address);
    }

    /** Returns the channel, which gives access to the TLS identity of the peer. */
    public Channel channel() {
        return ctx.channel();
    }

    /** Returns true if the session is open and its write buffer has space. */
    public boolean writable() {
        return open() && ctx.channel().isWritable();
    }

    private void process(Frame frame) throws ProtocolException {
        String transaction = frame.header("transaction");
        switch (frame.command()) {
            case SEND, ACK, NACK -> {
                if (transaction != null) {
                    List<Frame> transactionFrames = framesOfTransaction(transaction);
                    if (transactionFrames.size() >= MAX_FRAMES_IN_TRANSACTION) {
                        throw new ProtocolException(
                                "more than "
                                        + MAX_FRAMES_IN_TRANSACTION
                                        + " frames in a transaction");
                    }
                    transactionFrames.add(frame);
                } else {
                    processMessageOrAck(frame);
                }
            }
            case SUBSCRIBE -> subscribe(frame);
            case UNSUBSCRIBE -> unsubscribe(frame);
            case BEGIN -> {
                requiredHeader(frame, "transaction");
                if (framesByTransaction.containsKey(transaction)
                        || framesByTransaction.size() >= MAX_TRANSACTIONS) {
                    throw new ProtocolException(
                            framesByTransaction.containsKey(transaction)
                                    ? "transaction " + transaction + " has begun already"
                                    : "more than " + MAX_TRANSACTIONS + " transactions");
                }
                framesByTransaction.put(transaction, new ArrayList<>());
            }
            case COMMIT -> {
                requiredHeader(frame, "transaction");
                List<Frame> transactionFrames = framesOfTransaction(transaction);
                framesByTransaction.remove(transaction);
                for (Frame transactionFrame : transactionFrames) {
                    processMessageOrAck(transactionFrame);
                }
            }
            case ABORT -> {
                requiredHeader(frame, "transaction");
                framesOfTransaction(transaction); // throws if it has not begun
                framesByTransaction.remove(transaction);
            }
            case DISCONNECT -> closeReason = "the peer disconnected";
            default ->
                    throw new ProtocolException(
                            frame.command() + " is not for a client to send now");
        }
        sendReceiptIfRequested(frame);
        if (frame.command() == StompCommand.DISCONNECT) {
            closeAfterWrites(closeReason);
        }
    }

    private void processMessageOrAck(Frame frame) throws ProtocolException {
        if (frame.command() == StompCommand.SEND) {
            handler.sent(this, requiredHeader(frame, "destination"), frame);
        } else {
            acknowledge(requiredHeader(frame, "id"), frame.command() == StompCommand.ACK);
        }
    }

    private List<Frame> framesOfTransaction(String name) throws ProtocolException {
        List<Frame> transactionFrames = framesByTransaction.get(name);
        if (transactionFrames == null) {
            throw new ProtocolException("no transaction " + name + " has begun");
        }
        return transactionFrames;
    }

    private void subscribe(Frame frame) throws ProtocolException {
        String id = requiredHeader(frame, "id");
        String destination = requiredHeader(frame, "destination");
        String ack = frame.header("ack", "auto");
        if (!ack.equals("auto") && !ack.equals("client") && !ack.equals("client-individual")) {
            throw new ProtocolException(
                    "ack must be auto, client or client-individual, not " + ack);
        }
        if (subscriptionById.containsKey(id)) {
            throw new ProtocolException("subscription " + id + " stands already");
        }
        if (subscriptionById.size() >= MAX_SUBSCRIPTIONS) {
            throw new ProtocolException("more than " + MAX_SUBSCRIPTIONS + " subscriptions");
        }
        subscriptionById.put(
                id, new Subscription(id, destination, !ack.equals("auto"), ack.equals("client")));
        try {
            handler.subscribed(this, id, destination);
        } catch (ProtocolException e) {
            subscriptionById.remove(id);
            throw e;
        }
    }

    private void unsubscribe(Frame frame) throws ProtocolException {
        Subscription removed = subscriptionById.remove(requiredHeader(frame, "id"));
        if (removed == null) {
            throw new ProtocolException("no subscription " + frame.header("id"));
        }
        unacknowledgedByAckId
                .values()
                .removeIf(message -> message.subscriptionId().equals(removed.id()));
        handler.unsubscribed(this, removed.destination());
    }

    private void acknowledge(String ackId, boolean positive) throws ProtocolException {
        UnacknowledgedMessage message = unacknowledgedByAckId.get(ackId);
        if (message == null) {
            throw new ProtocolException("no message waits for " + ackId);
        }
        Subscription subscription = subscriptionById.get(message.subscriptionId());
        List<String> acknowledgedIds = new ArrayList<>();
        for (Map.Entry<String, UnacknowledgedMessage> entry :
                unacknowledgedByAckId.entrySet()) { // in the order sent
            boolean acknowledgedCumulatively =
                    subscription != null
                            && subscription.cumulativeAck()
                            && entry.getValue().subscriptionId().equals(subscription.id());
            if (acknowledgedCumulatively || entry.getKey().equals(ackId)) {
                acknowledgedIds.add(entry.getKey());
            }
            if (entry.getKey().equals(ackId)) {
                break;
            }
        }
        for (String id : acknowledgedIds) {
            handler.acknowledged(this, unacknowledgedByAckId.remove(id).messageId(), positive);
        }
    }

    private static String requiredHeader(Frame frame, String header) throws ProtocolException {
        String value = frame.header(header);
        if (value == null || value.isEmpty()) {
            throw new ProtocolException(frame.command() + " needs the header " + header);
        }
        return value;
    }

    private void sendReceiptIfRequested(Frame frame) {
        String receipt = frame.header("receipt");
        // if the handler ended the session by fail(), the frame was not processed, and no frame may
        // follow the ERROR
        if (receipt != null && !closing) {
            ctx.writeAndFlush(Frame.of(StompCommand.RECEIPT, "receipt-id", receipt));
        }
    }

    private void sendErrorAndClose(ProtocolException e, String receiptId) {
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
        closeAfterWrites(e.getMessage());
    }

    /**
     * Closes the connection when all pending writes have completed, or after a second if the peer
     * does not read.
     */
    private void closeAfterWrites(String reason) {
        closing = true;
        closeReason = reason;
        ctx.writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER).addListener(future -> ctx.close());
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
            sendErrorAndClose(new ProtocolException("frame too large", cause.getMessage()), null);
        } else if (cause instanceof DecoderException) {
            sendErrorAndClose(new ProtocolException("malformed frame", cause.getMessage()), null);
        } else if (cause instanceof IOException) {
            closeReason = "connection broken: " + cause.getMessage();
            ctx.close();
        } else {
            closeReason = "internal error: " + cause;
            sendErrorAndClose(new ProtocolException("internal error"), null);
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
