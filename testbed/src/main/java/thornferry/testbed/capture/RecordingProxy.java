package thornferry.testbed.capture;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * A TCP proxy in front of one placer, which forwards bytes, records the frames that it forwards,
 * and injects transport faults. The proxy does not change frames, and does not record frames that
 * it truncates or drops.
 */
public final class RecordingProxy implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";

    /**
     * Number of the last connection of all proxies, because several proxies may share a capture.
     */
    private static final AtomicLong LAST_CONNECTION_NUMBER = new AtomicLong();

    private static final int ACCEPT_BACKLOG = 4_096;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final String placer;
    private final Capture capture;
    private final Optional<SslContext> peerTls;
    private final Optional<SslContext> placerTls;
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<Long, ProxiedConnection> connectionByNumber = new ConcurrentHashMap<>();
    private final Channel listener;
    private volatile SocketAddress placerAddress;

    /**
     * Starts a proxy that listens on a free port and forwards plain text.
     *
     * @param placer name of the placer in the capture
     * @param placerAddress address on which the placer listens
     * @param capture capture to which connections and frames are written
     */
    public RecordingProxy(String placer, SocketAddress placerAddress, Capture capture)
            throws IOException {
        this(placer, placerAddress, capture, null, null);
    }

    /**
     * Starts a proxy that listens on a free port and terminates TLS on both sides, so that it can
     * record frames. A peer's certificate therefore does not reach the placer, but logins and
     * passcodes do.
     *
     * @param placer name of the placer in the capture
     * @param placerAddress address on which the placer listens
     * @param capture capture to which connections and frames are written
     * @param peerTls TLS context towards clients and nodes; null for plain text
     * @param placerTls TLS context towards the placer; null for plain text
     */
    public RecordingProxy(
            String placer,
            SocketAddress placerAddress,
            Capture capture,
            SslContext peerTls,
            SslContext placerTls)
            throws IOException {
        this.placer = placer;
        this.placerAddress = placerAddress;
        this.capture = capture;
        this.peerTls = Optional.ofNullable(peerTls);
        this.placerTls = Optional.ofNullable(placerTls);
        listener = listen();
    }

    private Channel listen() throws IOException {
        try {
            return new ServerBootstrap()
                    .group(eventLoopGroup)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .childOption(ChannelOption.AUTO_READ, false)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel peerChannel) {
                                    accept(peerChannel);
                                }
                            })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private void accept(Channel peerChannel) {
        ProxiedConnection connection =
                new ProxiedConnection(
                        LAST_CONNECTION_NUMBER.incrementAndGet(),
                        placer,
                        capture,
                        peerChannel,
                        closed -> connectionByNumber.remove(closed.number()));
        connectionByNumber.put(connection.number(), connection);
        connection.open(placerAddress, peerTls, placerTls);
    }

    /** Returns the address to which clients and nodes connect. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Sets the placer address for new connections, after the placer was restarted. */
    public void target(SocketAddress newPlacerAddress) {
        placerAddress = newPlacerAddress;
    }

    /**
     * Cuts connections after half of the bytes that are read next on them.
     *
     * @param fraction fraction of the connections to affect on average, from 0 to 1
     * @return number of affected connections
     */
    public int cut(double fraction, SplittableRandom random) {
        return inject(fraction, random, ProxiedConnection::cutOnNextRead);
    }

    /**
     * Makes connections half-open: their sockets stay open, but no more bytes are forwarded.
     *
     * @param fraction fraction of the connections to affect on average, from 0 to 1
     * @return number of affected connections
     */
    public int halfOpen(double fraction, SplittableRandom random) {
        return inject(fraction, random, ProxiedConnection::makeHalfOpen);
    }

    /**
     * Makes peers slow readers, by not reading from the placer for a time.
     *
     * @param fraction fraction of the connections to affect on average, from 0 to 1
     * @param pauseMillis duration of the pause
     * @return number of affected connections
     */
    public int slowReader(double fraction, long pauseMillis, SplittableRandom random) {
        return inject(
                fraction, random, connection -> connection.stopReadingFromPlacer(pauseMillis));
    }

    private int inject(
            double fraction, SplittableRandom random, Consumer<ProxiedConnection> fault) {
        List<ProxiedConnection> affected = new ArrayList<>(connectionByNumber.values());
        affected.removeIf(connection -> random.nextDouble() >= fraction);
        affected.forEach(connection -> connection.inject(fault));
        return affected.size();
    }

    /** Closes all connections and waits until the capture contains that they are closed. */
    public void closeAll() {
        eventLoopGroup
                .next()
                .submit(
                        () ->
                                new ArrayList<>(connectionByNumber.values())
                                        .forEach(ProxiedConnection::close))
                .syncUninterruptibly();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        closeAll();
        eventLoopGroup
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
