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
 * A connection of a client or node through the recording proxy: the socket of the peer, the socket
 * to the placer, and the injected faults. All methods must be called on the event loop of the
 * connection, except {@link #inject}.
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
     * Wraps an accepted connection.
     *
     * @param number number that identifies the connection in the capture
     * @param placer name of the placer behind the proxy
     * @param peerChannel socket of the client or node, with automatic reading still turned off
     * @param onClose called once, when the connection is closed
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
     * Connects to the placer and then starts forwarding.
     *
     * @param placerAddress address on which the placer listens
     * @param peerTls TLS context towards the client or node; empty for plain text
     * @param placerTls TLS context towards the placer; empty for plain text
     */
    void open(
            SocketAddress placerAddress,
            Optional<SslContext> peerTls,
            Optional<SslContext> placerTls) {
        capture.writeOpened(number, placer);
        peerTls.ifPresent(
                tls -> peerChannel.pipeline().addLast(tls.newHandler(peerChannel.alloc())));
        peerChannel.pipeline().addLast(toPlacer);
        // Both sockets share an event loop, so that frames are recorded in the order of forwarding.
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

    private void connectCompleted(ChannelFuture connectFuture) {
        if (!connectFuture.isSuccess()) {
            close();
            return;
        }
        placerChannel = Optional.of(connectFuture.channel());
        toPlacer.forwardTo(connectFuture.channel());
        peerChannel.config().setAutoRead(true);
    }

    /** Closes both sockets. Does nothing if the connection is already closed. */
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

    /** Runs a fault on the connection's event loop, unless the connection is closed by then. */
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

    /** Makes the connection half-open: its sockets stay open, but no more bytes are forwarded. */
    void makeHalfOpen() {
        halfOpen = true;
    }

    /** Forwards only the first half of the next bytes read, then closes the connection. */
    void cutOnNextRead() {
        cutOnNextRead = true;
    }

    /** Stops reading from the placer for a time, as if the peer were a slow reader. */
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
     * Returns whether the connection is recorded as closed. Bytes read after that are neither
     * forwarded nor recorded.
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
