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
 * The client's half of one STOMP 1.2 connection, for clients, node agents and operators. One
 * connection, no retries: whoever holds it decides whether to dial again. Callbacks and state live
 * on the connection's event loop; the methods may be called from any thread.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<Frame> {
    /**
     * What the holder is told. {@link #closed} comes exactly once, also where the connection never
     * came to be.
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
     * Told what became of a frame sent with a receipt: taken ({@code error} null) or not known to
     * be.
     */
    public interface Receipt {
        /** Called once; {@code error} is null if the frame was taken. */
        void done(String error);
    }

    /**
     * Where and as whom to connect. {@code passcode} may be null where a certificate tells, {@code
     * tls} for plain text.
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
    private boolean over;
    private String why = "the connection was closed";
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
                                    protected void initChannel(Channel ch) {
                                        if (target.tls() != null) {
                                            // with the peer's name, so that it is compared with
                                            // that of the certificate
                                            ch.pipeline()
                                                    .addLast(
                                                            target.address()
                                                                            instanceof
                                                                            InetSocketAddress inet
                                                                    ? target.tls()
                                                                            .newHandler(
                                                                                    ch.alloc(),
                                                                                    inet
                                                                                            .getHostString(),
                                                                                    inet.getPort())
                                                                    : target.tls()
                                                                            .newHandler(
                                                                                    ch.alloc()));
                                        }
                                        ch.pipeline()
                                                .addLast(
                                                        new FlushConsolidationHandler(256, true),
                                                        new HeartbeatHandler());
                                        Framing.install(ch.pipeline(), limits);
                                        ch.pipeline().addLast(connection);
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
        return connected && !over;
    }

    /** The event loop on which the listener is called. */
    public EventLoop loop() {
        return channel.eventLoop();
    }

    /**
     * Sends a message to a destination; the future tells only whether its octets were handed to the
     * system.
     */
    public ChannelFuture send(String destination, Message message) {
        return write(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, false));
    }

    /** The same in binary. */
    public ChannelFuture sendBinary(String destination, Message message) {
        return write(
                Bodies.write(
                        Frame.of(StompCommand.SEND, "destination", destination), message, true));
    }

    /** Sends a frame and asks for its receipt. */
    public void request(Frame frame, Receipt receipt) {
        if (!loop().inEventLoop()) {
            loop().execute(() -> request(frame, receipt));
            return;
        }
        if (over) {
            receipt.done(why);
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

    /** Leaves politely: DISCONNECT, then closes when its receipt is in. */
    public void disconnect() {
        request(Frame.of(StompCommand.DISCONNECT), error -> channel.close());
    }

    /** Breaks the connection off at once, as a crash would. */
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
                Heartbeat peer = Heartbeat.parse(frame.header("heart-beat"));
                Heartbeat ours = target.heartbeat();
                HeartbeatHandler.start(ctx.pipeline(), ours.sendEvery(peer), ours.hearEvery(peer));
                listener.connected(this);
            }
            case MESSAGE -> listener.message(this, frame);
            case RECEIPT -> {
                Receipt waiting = receipts.remove(frame.header("receipt-id", ""));
                if (waiting != null) {
                    waiting.done(null);
                }
            }
            case ERROR -> {
                String detail = frame.body().length > 0 ? ": " + frame.text() : "";
                why = frame.header("message", "error") + detail;
                Receipt guilty = receipts.remove(frame.header("receipt-id", ""));
                if (guilty != null) {
                    guilty.done(why);
                }
                ctx.close();
            }
            default -> throw new ProtocolException("a server does not send " + frame.command());
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event == HeartbeatHandler.PeerSilent.INSTANCE) {
            why = "the placer was silent for longer than the heart-beat agreed";
            ctx.close();
        } else {
            ctx.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        why = String.valueOf(cause.getMessage());
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> ctx.close());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(why);
    }

    private void end(String because) {
        if (!over) {
            over = true;
            why = because;
            receipts.values().forEach(r -> r.done(because));
            receipts.clear();
            listener.closed(this, because);
        }
    }
}
