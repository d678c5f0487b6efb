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
 * The client's half of one STOMP 1.2 connection, for clients, node agents and operators. It does
 * not reconnect by itself. Callbacks run on the connection's event loop; methods may be called from
 * any thread.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<Frame> {
    /**
     * Notified of events. {@link #closed} is called exactly once, also if the connection was never
     * established.
     */
    public interface Listener {
        /** The placer has answered CONNECTED. */
        void connected(ClientConnection connection);

        /** A MESSAGE has arrived. */
        void message(ClientConnection connection, Frame frame);

        /** The connection is closed, for the reason given. */
        void closed(ClientConnection connection, String why);
    }

    /**
     * Notified of the outcome of a frame sent with a receipt: processed ({@code error} null), or
     * rejected or unknown.
     */
    public interface Receipt {
        /** Called once; {@code error} is null if the frame was processed. */
        void done(String error);
    }

    /**
     * Where and as whom to connect. {@code passcode} is null if a certificate identifies the
     * client, {@code tls} for plain text.
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
    private final Map<String, Receipt> receipts = new HashMap<>();
    private Channel channel;
    private boolean connected;
    private boolean ended;
    private String closeReason = "the connection was closed";
    private long receiptNumber;

    private ClientConnection(Target target, Listener listener) {
        this.target = target;
        this.listener = listener;
    }

    /** Opens a connection on an event loop; the listener is notified of its outcome. */
    public static ClientConnection open(
            EventLoop loop, Target target, FrameLimits limits, Listener listener) {
        ClientConnection connection = new ClientConnection(target, listener);
        ChannelFuture connecting =
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
                                            // with the peer's name, so that it is compared with
                                            // that of the certificate
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
        connection.channel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connection.end(String.valueOf(done.cause().getMessage()));
                    }
                });
        return connection;
    }

    /** Whether the connection is established and not closed. */
    public boolean open() {
        return connected && !ended;
    }

    /** The event loop on which the listener is called. */
    public EventLoop loop() {
        return channel.eventLoop();
    }

    /**
     * Sends a message to a destination as JSON; the future only tells whether its bytes were
     * written to the socket.
     */
    public ChannelFuture send(String destination, Message message) {
        return write(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, false));
    }

    /** Sends a message to a destination as protobuf. */
    public ChannelFuture sendBinary(String destination, Message message) {
        return write(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, true));
    }

    /** Sends a frame with a receipt header. */
    public void request(Frame frame, Receipt receipt) {
        if (!loop().inEventLoop()) {
            loop().execute(() -> request(frame, receipt));
            return;
        }
        if (ended) {
            receipt.done(closeReason);
            return;
        }
        String id = "r" + ++receiptNumber;
        receipts.put(id, receipt);
        write(frame.with("receipt", id));
    }

    /** Sends a message as JSON and notifies the receipt once the placer has taken it. */
    public void request(String destination, Message message, Receipt receipt) {
        request(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, false),
                receipt);
    }

    /** Subscribes to a destination. */
    public ChannelFuture subscribe(String id, String destination, String ack) {
        return write(
                Frame.of(StompCommand.SUBSCRIBE, "id", id, "destination", destination, "ack", ack));
    }

    /** Writes a frame; dropped if the connection is closed. */
    public ChannelFuture write(Frame frame) {
        return channel.writeAndFlush(frame);
    }

    /** Sends DISCONNECT and closes the connection after its receipt. */
    public void disconnect() {
        request(Frame.of(StompCommand.DISCONNECT), error -> channel.close());
    }

    /** Closes the connection at once, as a crash would. */
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
                Receipt receipt = receipts.remove(frame.header("receipt-id", ""));
                if (receipt != null) {
                    receipt.done(null);
                }
            }
            case ERROR -> {
                String detail = frame.body().length > 0 ? ": " + frame.text() : "";
                closeReason = frame.header("message", "error") + detail;
                Receipt failedReceipt = receipts.remove(frame.header("receipt-id", ""));
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
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> ctx.close());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(closeReason);
    }

    private void end(String reason) {
        if (!ended) {
            ended = true;
            closeReason = reason;
            receipts.values().forEach(receipt -> receipt.done(reason));
            receipts.clear();
            listener.closed(this, reason);
        }
    }
}
