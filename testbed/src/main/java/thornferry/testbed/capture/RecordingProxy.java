package thornferry.testbed.capture;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Framing;

/**
 * Sits on every connection to one placer: passes octets on, records the frames among those that it
 * passed on, and does transport faults. It changes no frame; what it cuts off or swallows is not
 * recorded.
 */
public final class RecordingProxy implements AutoCloseable {
    private static final AtomicLong LINKS = new AtomicLong();
    private static final FrameLimits WIDE = new FrameLimits(1 << 20, 10_000, 1 << 26, 1 << 26);

    private final String placer;
    private final Capture capture;
    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<Long, Link> links = new ConcurrentHashMap<>();
    private final Channel listener;
    private final SslContext front;
    private final SslContext back;
    private volatile SocketAddress target;

    /** Listens on a free port and passes everything to {@code target}. */
    public RecordingProxy(String placer, SocketAddress target, Capture capture) throws IOException {
        this(placer, target, capture, null, null);
    }

    /**
     * The same over TLS: it ends TLS on both sides, or it could record nothing. So a peer's
     * certificate does not pass it; logins and passcodes do.
     *
     * @param front towards peers, {@code back} towards the placer; both null for plain text
     */
    public RecordingProxy(
            String placer, SocketAddress target, Capture capture, SslContext front, SslContext back)
            throws IOException {
        this.front = front;
        this.back = back;
        this.placer = placer;
        this.target = target;
        this.capture = capture;
        try {
            listener =
                    new ServerBootstrap()
                            .group(loops)
                            .channel(NioServerSocketChannel.class)
                            .option(ChannelOption.SO_BACKLOG, 4096)
                            .childOption(ChannelOption.AUTO_READ, false)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel near) {
                                            new Link(near).dial();
                                        }
                                    })
                            .bind(new InetSocketAddress("127.0.0.1", 0))
                            .sync()
                            .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Where new connections go from now on: the placer has been started anew. */
    public void target(SocketAddress next) {
        target = next;
    }

    /** One direction of one connection. */
    private final class Way extends ChannelInboundHandlerAdapter {
        final Link link;
        final boolean up;
        final EmbeddedChannel decoder = new EmbeddedChannel();
        Channel to;
        boolean readable = true;

        Way(Link link, boolean up) {
            this.link = link;
            this.up = up;
            Framing.install(decoder.pipeline(), WIDE);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            ByteBuf octets = (ByteBuf) msg;
            if (link.swallows) {
                octets.release();
                return;
            }
            if (link.cutNext) {
                // the peer sees a frame's beginning and then the end of the connection
                ByteBuf part = octets.readRetainedSlice(octets.readableBytes() / 2);
                octets.release();
                record(part);
                to.writeAndFlush(part).addListener(done -> link.close());
                return;
            }
            record(octets);
            to.writeAndFlush(octets).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }

        private void record(ByteBuf octets) {
            if (!readable) {
                return;
            }
            try {
                decoder.writeInbound(Unpooled.copiedBuffer(octets));
                for (Frame f = decoder.readInbound(); f != null; f = decoder.readInbound()) {
                    capture.writeFrame(link.number, placer, up, f);
                }
            } catch (RuntimeException e) {
                readable =
                        false; // garbage on purpose: passed on, but there are no frames to record
                // any more
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            link.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            link.close();
        }
    }

    private final class Link {
        final long number = LINKS.incrementAndGet();
        final Channel near;
        final Way up = new Way(this, true);
        final Way down = new Way(this, false);
        Channel far;
        boolean closed;
        volatile boolean swallows;
        volatile boolean cutNext;

        Link(Channel near) {
            this.near = near;
        }

        void dial() {
            links.put(number, this);
            capture.writeOpened(number, placer);
            down.to = near;
            if (front != null) {
                near.pipeline().addLast(front.newHandler(near.alloc()));
            }
            near.pipeline().addLast(up);
            // on the same loop, so that both ways and the record are in one order
            new Bootstrap()
                    .group(near.eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2_000)
                    .handler(
                            new ChannelInitializer<Channel>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    if (back != null) {
                                        channel.pipeline()
                                                .addLast(
                                                        back.newHandler(
                                                                channel.alloc(), "127.0.0.1", 0));
                                    }
                                    channel.pipeline().addLast(down);
                                }
                            })
                    .connect(target)
                    .addListener(
                            (ChannelFutureListener)
                                    done -> {
                                        if (done.isSuccess()) {
                                            far = done.channel();
                                            up.to = far;
                                            near.config().setAutoRead(true);
                                        } else {
                                            close();
                                        }
                                    });
        }

        void close() {
            if (closed) {
                return;
            }
            closed = true;
            links.remove(number);
            capture.writeClosed(number, placer);
            near.close();
            if (far != null) {
                far.close();
            }
            up.decoder.releaseInbound(); // a frame cut in the middle is no frame
            down.decoder.releaseInbound();
        }
    }

    /** Does {@code fault} to a share of the links, drawn by {@code random}. */
    private int some(
            double part, SplittableRandom random, java.util.function.Consumer<Link> fault) {
        List<Link> all = new ArrayList<>(links.values());
        all.removeIf(l -> random.nextDouble() >= part);
        all.forEach(
                l ->
                        l.near.eventLoop()
                                .execute(
                                        () -> {
                                            if (!l.closed) {
                                                fault.accept(l);
                                            }
                                        }));
        return all.size();
    }

    /** Cuts connections in the middle of whatever passes next. */
    public int cut(double part, SplittableRandom random) {
        return some(part, random, l -> l.cutNext = true);
    }

    /** Half-open: both ends think the connection stands, and nothing passes any more. */
    public int halfOpen(double part, SplittableRandom random) {
        return some(part, random, l -> l.swallows = true);
    }

    /** The peer reads nothing for a time; what the placer sends it piles up. */
    public int slowReader(double part, long millis, SplittableRandom random) {
        return some(
                part,
                random,
                l -> {
                    if (l.far != null) {
                        l.far.config().setAutoRead(false);
                        capture.writeSlowReader(l.number, placer, millis * 1_000);
                        l.far.eventLoop()
                                .schedule(
                                        () -> l.far.config().setAutoRead(true),
                                        millis,
                                        TimeUnit.MILLISECONDS);
                    }
                });
    }

    /** Ends every connection and waits, so that what follows is recorded after it. */
    public void closeAll() {
        loops.next()
                .submit(() -> new ArrayList<>(links.values()).forEach(Link::close))
                .syncUninterruptibly();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        closeAll();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
