package thornferry.placer;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import thornferry.decisions.placement.Policy;

/**
 * A running placer, with one or more instances. Each instance listens on a port of its own and
 * shares no scheduling state with the others. Each instance runs on one event loop; if there are
 * more instances than processors, an event loop serves several.
 */
public final class Placer implements AutoCloseable {
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

    /** A source from which a new configuration is read. */
    public interface Source {
        /**
         * Reads the configuration.
         *
         * @throws Exception if the configuration cannot be read; the previous one then stays in
         *     effect
         */
        Site read() throws Exception;
    }

    /**
     * Counters of a placer.
     *
     * @param requests the number of requests received since the start
     * @param results the number of first results of requests since the start
     * @param offers the number of offers made since the start
     * @param policyFailures the number of exceptions thrown by the placement policy since the start
     * @param pending the number of requests that have no result now
     * @param attempts the number of attempts that are unfinished now
     */
    public record Totals(
            long requests,
            long results,
            long offers,
            long policyFailures,
            int pending,
            int attempts) {
        private static final Totals ZERO = new Totals(0, 0, 0, 0, 0, 0);

        private Totals plus(Totals other) {
            return new Totals(
                    requests + other.requests,
                    results + other.results,
                    offers + other.offers,
                    policyFailures + other.policyFailures,
                    pending + other.pending,
                    attempts + other.attempts);
        }
    }

    private final Site site;
    private final LoginAuthenticator authenticator;
    private final ReloadableConfiguration configuration;
    private final MultiThreadIoEventLoopGroup eventLoops;
    private final JournalOpener journals = new JournalOpener();
    private final List<InstanceListener> listeners = new ArrayList<>();

    private Placer(Site site, int threads) throws IOException {
        this.site = site;
        authenticator = new LoginAuthenticator(site.accounts());
        configuration = new ReloadableConfiguration(site, authenticator, this::reloadInstances);
        eventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Starts instances that listen on {@code port}, {@code port + 1} and so on; with port 0, each
     * instance listens on a free port.
     *
     * @throws IOException if a port cannot be bound, or a certificate or journal cannot be used;
     *     nothing is left running
     */
    public static Placer start(Site site, String host, int port, int instances) throws IOException {
        int processors = Runtime.getRuntime().availableProcessors();
        Placer placer = new Placer(site, Math.max(1, Math.min(instances, processors)));
        try {
            for (int number = 0; number < instances; number++) {
                int instancePort = port == 0 ? 0 : port + number;
                placer.startInstance(number, host, instancePort);
            }
        } catch (IOException e) {
            placer.close();
            throw e;
        }
        return placer;
    }

    private void startInstance(int number, String host, int port) throws IOException {
        EventLoop loop = eventLoops.next();
        PlacerInstance instance = new PlacerInstance(site, number, loop, Clock.system());
        RecoveredState recovered = journals.open(site, instance.name());
        PlacerServer server =
                new PlacerServer(instance, authenticator, configuration, Policy::new, recovered);
        JournalOpener.startIncarnation(recovered, server);
        listeners.add(new InstanceListener(server, loop, site, configuration::tls, host, port));
    }

    private void reloadInstances(Site next) {
        listeners.forEach(listener -> listener.reload(next));
    }

    /** Sets the source from which {@link #reload} reads the configuration. */
    public void reloadFrom(Source source) {
        configuration.setSource(source);
    }

    /**
     * Reloads the configuration. Admission limits, accounts and certificates take effect at once
     * for new connections and requests; open connections, pending requests and running tasks are
     * kept. Everything else needs a restart.
     *
     * @return null on success; otherwise the error, in which case nothing has changed
     */
    public String reload() {
        return configuration.reload().orElse(null);
    }

    /** Returns the address of each instance. */
    public List<InetSocketAddress> addresses() {
        return listeners.stream().map(InstanceListener::address).toList();
    }

    /** Returns the sum of the counters of all instances. */
    public Totals totals() {
        return listeners.stream().map(InstanceListener::totals).reduce(Totals.ZERO, Totals::plus);
    }

    /** Blocks all event loops, as a long garbage collection would; for tests of such pauses. */
    public void pause(long millis) {
        listeners.stream()
                .map(InstanceListener::loop)
                .distinct()
                .forEach(
                        loop ->
                                loop.execute(
                                        () ->
                                                LockSupport.parkNanos(
                                                        TimeUnit.MILLISECONDS.toNanos(millis))));
    }

    /**
     * Stops at once, as a killed process would: connections are closed without an ERROR frame to
     * their peers.
     */
    @Override
    public void close() {
        listeners.forEach(InstanceListener::stopListening);
        listeners.forEach(InstanceListener::closeConnections);
        authenticator.close();
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
        journals.close();
    }
}
