package thornferry.protocol;

import com.google.protobuf.Message;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.stomp.StompCommand;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;

/**
 * The client side of one STOMP 1.2 connection, used by clients, node agents and operators. A closed
 * connection is not reopened. Callbacks run on the connection's event loop; methods may be called
 * from any thread.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<Frame> {
    /**
     * Receives the events of a connection. {@link #closed} is called exactly once, even if the
     * connection was never established.
     */
    public interface Listener {
        /** Called when the placer has replied with CONNECTED. */
        void connected(ClientConnection connection);

        /** Called when a MESSAGE frame has arrived. */
        void message(ClientConnection connection, Frame frame);

        /** Called when the connection is closed, with the reason. */
        void closed(ClientConnection connection, String reason);
    }

    /**
     * Receives the outcome of a frame that was sent with a receipt header: the placer processed the
     * frame, the placer rejected it, or the connection closed before the outcome was known.
     */
    public interface Receipt {
        /**
         * Called exactly once.
         *
         * @param error null if the frame was processed; otherwise the text of the ERROR frame or
         *     the reason of the close
         */
        void done(String error);
    }

    /**
     * The address and credentials of a connection. {@code passcode} is null if a certificate
     * identifies the client; {@code tls} is null for a plain-text connection.
     */
    public record Target(
            SocketAddress address,
            String login,
            String passcode,
            Heartbeat heartbeat,
            SslContext tls) {
        public Target(SocketAddress address, String login, String passcode, Heartbeat heartbeat) {
            this(address, login, passcode, heartbeat, null);
        }
    }

    private final Target target;
    private final Listener listener;
    private final Map<String, Receipt> receiptById = new HashMap<>();
    private Channel channel;
    private boolean connected;
    private boolean closed;
    private String closeReason = "the connection was closed";
    private long lastReceiptNumber;

    private ClientConnection(Target target, Listener listener) {
        this.target = target;
        this.listener = listener;
    }

    /** Opens a connection on an event loop; the listener is notified of the outcome. */
    public static ClientConnection open(
            EventLoop loop, Target target, FrameLimits limits, Listener listener) {
        ClientConnection connection = new ClientConnection(target, listener);
        ChannelFuture connectFuture =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 5_000)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel newChannel) {
                                        if (target.tls() != null) {
                                            // the host name is passed so that TLS verifies it
                                            // against the peer's certificate
                                            newChannel
                                                    .pipeline()
                                                    .addLast(
                                                            target.address()
                                                                            instanceof
                                                                            InetSocketAddress inet
                                                                    ? target.tls()
                                                                            .newHandler(
                                                                                    newChannel
                                                                                            .alloc(),
                                                                                    inet
                                                                                            .getHostString(),
                                                                                    inet.getPort())
                                                                    : target.tls()
                                                                            .newHandler(
                                                                                    newChannel
                                                                                            .alloc()));
                                        }
                                        newChannel
                                                .pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(256, true),
                                                        new HeartbeatHandler());
                                        Framing.install(newChannel.pipeline(), limits);
                                        newChannel.pipeline().addLast(connection);
                                    }
                                })
                        .connect(target.address());
        connection.channel = connectFuture.channel();
        connectFuture.addListener(
                future -> {
                    if (!future.isSuccess()) {
                        connection.handleClose(String.valueOf(future.cause().getMessage()));
                    }
                });
        return connection;
    }

    /** Returns true if the connection is established and not closed. */
    public boolean open() {
        return connected && !closed;
    }

    /** Returns the event loop on which the listener is called. */
    public EventLoop loop() {
        return channel.eventLoop();
    }

    /**
     * Sends a message to a destination as JSON. The returned future completes when the bytes are
     * written to the socket, not when the placer has processed them.
     */
    public ChannelFuture send(String destination, Message message) {
        return write(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, false));
    }

    /** Sends a message to a destination as binary protobuf. */
    public ChannelFuture sendBinary(String destination, Message message) {
        return write(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, true));
    }

    /** Sends a frame with a receipt header and notifies {@code receipt} of its outcome. */
    public void request(Frame frame, Receipt receipt) {
        if (!loop().inEventLoop()) {
            loop().execute(() -> request(frame, receipt));
            return;
        }
        if (closed) {
            receipt.done(closeReason);
            return;
        }
        String id = "r" + ++lastReceiptNumber;
        receiptById.put(id, receipt);
        write(frame.with("receipt", id));
    }

    /**
     * Sends a message as JSON with a receipt header and notifies {@code receipt} of its outcome.
     */
    public void request(String destination, Message message, Receipt receipt) {
        request(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, false),
                receipt);
    }

    /**
     * Subscribes to a destination.
     *
     * @param id subscription id, unique on this connection
     * @param ack value of the {@code ack} header
     */
    public ChannelFuture subscribe(String id, String destination, String ack) {
        return write(
                Frame.of(StompCommand.SUBSCRIBE, "id", id, "destination", destination, "ack", ack));
    }

    /** Writes a frame; the frame is dropped if the connection is closed. */
    public ChannelFuture write(Frame frame) {
        return channel.writeAndFlush(frame);
    }

    /** Sends DISCONNECT and closes the connection when its receipt arrives. */
    public void disconnect() {
        request(Frame.of(StompCommand.DISCONNECT), error -> channel.close());
    }

    /** Closes the connection immediately, without DISCONNECT, as a crash would. */
    public void cut() {
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(
                Frame.of(
                        StompCommand.CONNECT,
                        "accept-version",
                        "1.2",
                        "host",
                        "thornferry",
                        "login",
                        target.login(),
                        "passcode",
                        target.passcode(),
                        "heart-beat",
                        target.heartbeat().header()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws ProtocolException {
        switch (frame.command()) {
            case CONNECTED -> {
                connected = true;
                Heartbeat peerHeartbeat = Heartbeat.parse(frame.header("heart-beat"));
                Heartbeat ownHeartbeat = target.heartbeat();
                HeartbeatHandler.start(
                        ctx.pipeline(),
                        ownHeartbeat.negotiatedSendMillis(peerHeartbeat),
                        ownHeartbeat.negotiatedReceiveMillis(peerHeartbeat));
                listener.connected(this);
            }
            case MESSAGE -> listener.message(this, frame);
            case RECEIPT -> {
                Receipt receipt = receiptById.remove(frame.header("receipt-id", ""));
                if (receipt != null) {
                    receipt.done(null);
                }
            }
            case ERROR -> {
                String detail = frame.body().length > 0 ? ": " + frame.text() : "";
                closeReason = frame.header("message", "error") + detail;
                Receipt failedReceipt = receiptById.remove(frame.header("receipt-id", ""));
                if (failedReceipt != null) {
                    failedReceipt.done(closeReason);
                }
                ctx.close();
            }
            default -> throw new ProtocolException("a server does not send " + frame.command());
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == HeartbeatHandler.PeerSilent.INSTANCE) {
            closeReason = "the placer was silent for longer than the heart-beat agreed";
            ctx.close();
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        closeReason = String.valueOf(cause.getMessage());
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(future -> ctx.close());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handleClose(closeReason);
    }

    private void handleClose(String reason) {
        if (!closed) {
            closed = true;
            closeReason = reason;
            receiptById.values().forEach(receipt -> receipt.done(reason));
            receiptById.clear();
            listener.closed(this, reason);
        }
    }
}
