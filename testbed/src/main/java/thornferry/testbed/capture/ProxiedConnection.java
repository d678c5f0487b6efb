package thornferry.testbed.capture;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One connection of a client or node through the recording proxy: its socket, the socket to the
 * placer, and the faults injected into it. All methods run on the event loop of the connection,
 * except {@link #inject}.
 */
final class ProxiedConnection {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final long number;
    private final String placer;
    private final Capture capture;
    private final Channel peerChannel;
    private final ForwardingHandler toPlacer;
    private final ForwardingHandler fromPlacer;
    private final Consumer<ProxiedConnection> onClose;
    private Optional<Channel> placerChannel = Optional.empty();
    private boolean closed;
    private boolean halfOpen;
    private boolean cutOnNextRead;

    /**
     * Takes over an accepted connection.
     *
     * @param number identifies it in the capture
     * @param placer name of the placer that it leads to
     * @param peerChannel socket of the client or node, which is not read from yet
     * @param onClose called once when it is closed
     */
    ProxiedConnection(
            long number,
            String placer,
            Capture capture,
            Channel peerChannel,
            Consumer<ProxiedConnection> onClose) {
        this.number = number;
        this.placer = placer;
        this.capture = capture;
        this.peerChannel = peerChannel;
        this.onClose = onClose;
        toPlacer = new ForwardingHandler(this, Direction.TO_PLACER, capture);
        fromPlacer = new ForwardingHandler(this, Direction.FROM_PLACER, capture);
        fromPlacer.forwardTo(peerChannel);
    }

    /**
     * Connects to the placer and then begins to forward.
     *
     * @param placerAddress where the placer listens
     * @param peerTls terminates the peer's TLS; empty for plain text
     * @param placerTls encrypts towards the placer; empty for plain text
     */
    void open(
            SocketAddress placerAddress,
            Optional<SslContext> peerTls,
            Optional<SslContext> placerTls) {
        capture.writeOpened(number, placer);
        peerTls.ifPresent(
                tls -> peerChannel.pipeline().addLast(tls.newHandler(peerChannel.alloc())));
        peerChannel.pipeline().addLast(toPlacer);
        // one event loop for both sockets: the order of the capture is the order of forwarding
        new Bootstrap()
                .group(peerChannel.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                initPlacerChannel(channel, placerTls);
                            }
                        })
                .connect(placerAddress)
                .addListener((ChannelFutureListener) this::connectCompleted);
    }

    private void initPlacerChannel(Channel channel, Optional<SslContext> tls) {
        tls.ifPresent(
                context ->
                        channel.pipeline()
                                .addLast(
                                        context.newHandler(
                                                channel.alloc(), RecordingProxy.LOOPBACK, 0)));
        channel.pipeline().addLast(fromPlacer);
    }

    private void connectCompleted(ChannelFuture connect) {
        if (!connect.isSuccess()) {
            close();
            return;
        }
        placerChannel = Optional.of(connect.channel());
        toPlacer.forwardTo(connect.channel());
        peerChannel.config().setAutoRead(true);
    }

    /** Closes both sockets; does nothing if they are closed already. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        onClose.accept(this);
        capture.writeClosed(number, placer);
        peerChannel.close();
        placerChannel.ifPresent(Channel::close);
        toPlacer.releaseIncompleteFrame();
        fromPlacer.releaseIncompleteFrame();
    }

    /** Runs a fault on the connection's event loop, unless it is closed by then. */
    void inject(Consumer<ProxiedConnection> fault) {
        peerChannel
                .eventLoop()
                .execute(
                        () -> {
                            if (!closed) {
                                fault.accept(this);
                            }
                        });
    }

    /** Both ends take the connection for open, but nothing is forwarded any more. */
    void makeHalfOpen() {
        halfOpen = true;
    }

    /** Of what is read next only the first half is forwarded; then the connection is closed. */
    void cutOnNextRead() {
        cutOnNextRead = true;
    }

    /** For a time nothing is read from the placer, as if the peer did not read. */
    void stopReadingFromPlacer(long pauseMillis) {
        placerChannel.ifPresent(
                channel -> {
                    channel.config().setAutoRead(false);
                    capture.writeMark(
                            new Mark.SlowReader(number, placer, pauseMillis * MICROS_PER_MILLI));
                    channel.eventLoop()
                            .schedule(
                                    () -> channel.config().setAutoRead(true),
                                    pauseMillis,
                                    TimeUnit.MILLISECONDS);
                });
    }

    long number() {
        return number;
    }

    String placer() {
        return placer;
    }

    /**
     * Whether it is recorded as closed; what is read after that is neither passed on nor recorded.
     */
    boolean isClosed() {
        return closed;
    }

    boolean isHalfOpen() {
        return halfOpen;
    }

    boolean isCutOnNextRead() {
        return cutOnNextRead;
    }
}
