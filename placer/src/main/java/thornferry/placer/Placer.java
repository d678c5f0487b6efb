package thornferry.placer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.placement.Policy;
import thornferry.protocol.ServerSession;
import thornferry.security.Tls;
import thornferry.state.Durability;
import thornferry.state.Journal;
import thornferry.state.JournalFile;

/**
 * A running placer: one or more instances, each listening on a port of its own and sharing nothing
 * with the others. Each instance has one event loop; with many instances a loop serves several.
 */
public final class Placer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Placer.class);

    /**
     * Octets read of one connection before the others and the ticks have their turn. Guards against
     * a storm of asks on a few connections, as after a restart, that holds up every answer due
     * meanwhile; by default Netty reads a megabyte.
     */
    private static final int READ_OCTETS = 8 << 10;

    private final MultiThreadIoEventLoopGroup loops;
    private final List<PlacerServer> instances = new ArrayList<>();
    private final List<EventLoop> loopOf = new ArrayList<>();
    private final List<Channel> listeners = new ArrayList<>();
    private final List<ChannelGroup> accepted = new ArrayList<>();
    private final List<JournalFile> journals = new ArrayList<>();

    private final LoginAuthenticator gate;
    private volatile SslContext tls; // null for plain text
    private volatile Site site;
    private volatile Source source =
            () -> {
                throw new IOException("this placer was started without a file");
            };
    private volatile String lastReload = "";

    /** Where the configuration is read anew from; whatever it throws keeps the former one. */
    public interface Source {
        Site read() throws Exception;
    }

    private Placer(Site site, int threads) throws IOException {
        this.site = site;
        tls = context(site);
        gate = new LoginAuthenticator(site.accounts());
        loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Listens on {@code port}, {@code port + 1} ... for {@code instances} instances; 0 takes any
     * free ports.
     *
     * @throws IOException where a port cannot be listened on; nothing is left running
     */
    public static Placer start(Site site, String host, int port, int instances) throws IOException {
        return start(site, host, port, instances, Policy::new);
    }

    /** The same with another maker of modules, for tests that make the module fail. */
    static Placer start(
            Site site,
            String host,
            int port,
            int instances,
            Function<Placement.Settings, Placement> maker)
            throws IOException {
        Placer placer =
                new Placer(
                        site,
                        Math.max(
                                1,
                                Math.min(instances, Runtime.getRuntime().availableProcessors())));
        try {
            for (int i = 0; i < instances; i++) {
                placer.listen(site, host, port == 0 ? 0 : port + i, i, maker);
            }
        } catch (IOException e) {
            placer.close();
            throw e;
        }
        return placer;
    }

    private void listen(
            Site site,
            String host,
            int port,
            int number,
            Function<Placement.Settings, Placement> maker)
            throws IOException {
        EventLoop loop = loops.next();
        PlacerCore.RecoveredState kept = kept(site, number);
        PlacerServer instance =
                new PlacerServer(site, number, loop, Clock.system(), gate, reloading, maker, kept);
        if (kept.journal() instanceof JournalFile file) {
            file.startIncarnation(instance.recordsToKeep());
        }
        ChannelGroup open = new DefaultChannelGroup(loop);
        Channel listener;
        try {
            listener =
                    new ServerBootstrap()
                            .group(loop, loop)
                            .channel(NioServerSocketChannel.class)
                            .option(ChannelOption.SO_BACKLOG, 1024)
                            .option(ChannelOption.SO_REUSEADDR, true)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childOption(
                                    ChannelOption.RECVBUF_ALLOCATOR,
                                    new AdaptiveRecvByteBufAllocator(
                                                    512, READ_OCTETS / 2, READ_OCTETS)
                                            .maxMessagesPerRead(1))
                            .childHandler(
                                    new ChannelInitializer<Channel>() {
                                        @Override
                                        protected void initChannel(Channel channel) {
                                            if (open.size() >= site.connections()) {
                                                channel.close(); // a bound on what strangers can
                                                // make us hold
                                                return;
                                            }
                                            open.add(channel);
                                            SslContext context = tls;
                                            if (context != null) {
                                                channel.pipeline()
                                                        .addLast(
                                                                new OptionalTlsHandler(
                                                                        context,
                                                                        site.handshakeMs()));
                                            }
                                            ServerSession.install(
                                                    channel,
                                                    instance,
                                                    site.frames(),
                                                    site.heartbeat(),
                                                    instance.name(),
                                                    site.handshakeMs());
                                        }
                                    })
                            .bind(new InetSocketAddress(host, port))
                            .sync()
                            .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) { // Netty throws the bind's IOException unchecked
            throw new IOException(
                    "cannot listen on " + host + ":" + port + ": " + e.getMessage(), e);
        }
        instances.add(instance);
        loopOf.add(loop);
        listeners.add(listener);
        accepted.add(open);
        LOG.atInfo()
                .addKeyValue("instance", instance.name())
                .log("listens on {}", listener.localAddress());
    }

    /**
     * What former lives of an instance left. A folder that cannot be used costs what must be
     * promised, and no more.
     */
    private PlacerCore.RecoveredState kept(Site site, int number) throws IOException {
        if (site.state().durability() == Durability.NONE) {
            return PlacerCore.RecoveredState.NOTHING;
        }
        String name = PlacerServer.name(site, number);
        Path folder = site.state().folder().resolve(name);
        try {
            JournalFile file = JournalFile.open(folder, name, site.state().durability());
            journals.add(file);
            LOG.atInfo()
                    .addKeyValue("instance", name)
                    .log(
                            "journal in {}: {} lines of former lives{}",
                            folder,
                            file.records().size(),
                            file.incompleteBecause().isEmpty()
                                    ? ""
                                    : "; " + file.incompleteBecause());
            return new PlacerCore.RecoveredState(
                    file, file.records(), file.incompleteBecause().isEmpty());
        } catch (JournalFile.JournalInUseException e) {
            throw e;
        } catch (IOException e) {
            String why = "the journal in " + folder + " cannot be used: " + e;
            LOG.atError()
                    .addKeyValue("instance", name)
                    .log("{}; keyed and unsafe tasks are refused", why);
            return new PlacerCore.RecoveredState(Journal.broken(why), List.of(), false);
        }
    }

    private static SslContext context(Site site) throws IOException {
        return site.tls() == null ? null : Tls.server(site.tls().files(), site.tls().clients());
    }

    private final PlacerServer.ConfigurationReloader reloading =
            new PlacerServer.ConfigurationReloader() {
                @Override
                public String reload() {
                    return Placer.this.reload();
                }

                @Override
                public String last() {
                    return lastReload;
                }
            };

    /** Sets where {@link #reload} reads from. */
    public void reloadFrom(Source from) {
        source = from;
    }

    /**
     * Reads the configuration anew: limits and order of what waits, accounts and certificates are
     * taken over at once, for connections to come; those that stand are kept, and so is all that
     * waits or runs. All else needs a restart.
     *
     * @return null, or what is wrong: then nothing at all has changed
     */
    public synchronized String reload() {
        try {
            Site next = source.read();
            if ((next.tls() == null) != (site.tls() == null)) {
                throw new IOException(
                        "tls: a port cannot change between plain text and TLS without a restart");
            }
            SslContext context = context(next);
            tls = context;
            gate.set(next.accounts());
            String left =
                    next.placement().equals(site.placement())
                            ? ""
                            : "; changes of classes, kinds, rules or prices wait"
                                    + " for a restart";
            site = next;
            for (int i = 0; i < instances.size(); i++) {
                PlacerServer instance = instances.get(i);
                loopOf.get(i).execute(() -> instance.reload(next));
            }
            lastReload = java.time.Instant.now() + ": good" + left;
            LOG.info("reloaded{}", left);
            return null;
        } catch (Exception e) {
            lastReload =
                    java.time.Instant.now() + ": not reloaded, the former stays: " + e.getMessage();
            LOG.error("not reloaded, the former configuration stays: {}", e.getMessage());
            return String.valueOf(e.getMessage());
        }
    }

    /** Where each instance listens. */
    public List<InetSocketAddress> addresses() {
        return listeners.stream().map(l -> (InetSocketAddress) l.localAddress()).toList();
    }

    /** Sums over the instances of what they count, for reports. */
    public Totals totals() {
        Totals sum = new Totals(0, 0, 0, 0, 0, 0);
        for (int i = 0; i < instances.size(); i++) {
            sum = sum.plus(on(i, instances.get(i)::counts));
        }
        return sum;
    }

    /** Asks, results and offers since the start; tasks in hand and attempts held now. */
    public record Totals(
            long requests,
            long results,
            long offers,
            long policyFailures,
            int pending,
            int attempts) {
        private Totals plus(Totals o) {
            return new Totals(
                    requests + o.requests,
                    results + o.results,
                    offers + o.offers,
                    policyFailures + o.policyFailures,
                    pending + o.pending,
                    attempts + o.attempts);
        }
    }

    private <T> T on(int instance, Callable<T> call) {
        return loopOf.get(instance).submit(call).syncUninterruptibly().getNow();
    }

    /**
     * Stands all instances still for so long, as a long garbage collection would; for scripted
     * days.
     */
    public void pause(long millis) {
        for (EventLoop loop : loopOf.stream().distinct().toList()) {
            loop.execute(
                    () -> java.util.concurrent.locks.LockSupport.parkNanos(millis * 1_000_000));
        }
    }

    /** Ends at once, as a kill would: connections break off without a word. */
    @Override
    public void close() {
        listeners.forEach(l -> l.close().syncUninterruptibly());
        accepted.forEach(open -> open.close().syncUninterruptibly());
        gate.close();
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
        journals.forEach(JournalFile::close);
    }
}
