package thornferry.placer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.protocol.ServerSession;

/** The listening port of one placer instance and the connections that it accepted. */
final class InstanceListener {
    private static final Logger LOG = LoggerFactory.getLogger(InstanceListener.class);

    /**
     * The maximum number of bytes read from one connection before other connections and the ticks
     * are served. Without this limit (Netty's default is a megabyte), a burst of requests on a few
     * connections, as after a restart, would delay all responses that are due meanwhile.
     */
    private static final int MAX_READ_BYTES = 8 << 10;

    private static final int INITIAL_READ_BYTES = MAX_READ_BYTES / 2;
    private static final int MIN_READ_BYTES = 512;
    private static final int ACCEPT_BACKLOG = 1024;

    private final PlacerServer server;
    private final EventLoop loop;
    private final Site site;
    private final Supplier<Optional<SslContext>> tlsContext;
    private final ChannelGroup acceptedChannels;
    private final Channel listener;

    /**
     * Binds the address and starts to listen.
     *
     * @param site the configuration at the start of the placer
     * @param tlsContext the TLS context for new connections; empty for plain text
     * @throws IOException if the address cannot be bound
     */
    InstanceListener(
            PlacerServer server,
            EventLoop loop,
            Site site,
            Supplier<Optional<SslContext>> tlsContext,
            String host,
            int port)
            throws IOException {
        this.server = server;
        this.loop = loop;
        this.site = site;
        this.tlsContext = tlsContext;
        acceptedChannels = new DefaultChannelGroup(loop);
        listener = bind(host, port);
        LOG.atInfo()
                .addKeyValue("instance", server.name())
                .log("listens on {}", listener.localAddress());
    }

    private Channel bind(String host, int port) throws IOException {
        try {
            return new ServerBootstrap()
                    .group(loop, loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childOption(
                            ChannelOption.RECVBUF_ALLOCATOR,
                            new AdaptiveRecvByteBufAllocator(
                                            MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                    .maxMessagesPerRead(1))
                    .childHandler(
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    accept(channel);
                                }
                            })
                    .bind(new InetSocketAddress(host, port))
                    .sync()
                    .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while binding the listening address", e);
        } catch (Exception e) { // Netty throws the bind's IOException unchecked
            throw new IOException(
                    "cannot listen on " + host + ":" + port + ": " + e.getMessage(), e);
        }
    }

    private void accept(Channel channel) {
        // Bounds the memory that unauthenticated peers can occupy.
        if (acceptedChannels.size() >= site.connections()) {
            channel.close();
            return;
        }
        acceptedChannels.add(channel);
        tlsContext
                .get()
                .ifPresent(
                        context ->
                                channel.pipeline()
                                        .addLast(
                                                new OptionalTlsHandler(
                                                        context, site.handshakeMs())));
        ServerSession.install(
                channel,
                server,
                site.frames(),
                site.heartbeat(),
                server.name(),
                site.handshakeMs());
    }

    EventLoop loop() {
        return loop;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the counters of the instance; blocks until its event loop has read them. */
    Placer.Totals totals() {
        Callable<Placer.Totals> totals = server::totals;
        return loop.submit(totals).syncUninterruptibly().getNow();
    }

    /** Applies a new configuration asynchronously, on the event loop. */
    void reload(Site next) {
        loop.execute(() -> server.reload(next));
    }

    /** Stops listening; accepted connections stay open. */
    void stopListening() {
        listener.close().syncUninterruptibly();
    }

    /** Closes the accepted connections without an ERROR frame to their peers. */
    void closeConnections() {
        acceptedChannels.close().syncUninterruptibly();
    }
}
