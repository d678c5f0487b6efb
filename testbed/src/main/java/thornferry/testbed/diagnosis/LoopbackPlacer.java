package thornferry.testbed.diagnosis;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import thornferry.client.TaskClient;
import thornferry.placer.Placer;
import thornferry.placer.Site;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.TaskNews;

/** A placer on a free port of the loopback interface, together with its clients. */
public final class LoopbackPlacer implements AutoCloseable {
    private static final String HOST = "127.0.0.1";
    private static final int ANY_PORT = 0;
    private static final int INSTANCES = 1;
    private static final int EVENT_LOOP_THREADS = 2;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final Site site;
    private final Heartbeat heartbeat;
    private final InetSocketAddress address;
    private final MultiThreadIoEventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final Deque<Runnable> closeActions = new ArrayDeque<>();
    private Placer placer;

    private LoopbackPlacer(Site site, Heartbeat heartbeat, Placer placer) {
        this.site = site;
        this.heartbeat = heartbeat;
        this.placer = placer;
        this.address = placer.addresses().get(0);
    }

    /**
     * Starts a placer.
     *
     * @param heartbeat heartbeat intervals that the clients of the placer propose
     */
    public static LoopbackPlacer start(Site site, Heartbeat heartbeat) throws IOException {
        return new LoopbackPlacer(site, heartbeat, Placer.start(site, HOST, ANY_PORT, INSTANCES));
    }

    /** Stops the placer abruptly, like a kill, and starts another on the same port. */
    public void restart() throws IOException {
        placer.close();
        placer = Placer.start(site, HOST, address.getPort(), INSTANCES);
    }

    /** Returns the placer that is currently running. */
    public Placer placer() {
        return placer;
    }

    /** Returns the address on which the placer listens; a restart does not change it. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the next event loop of the group, for a connection to the placer. */
    public EventLoop nextLoop() {
        return eventLoopGroup.next();
    }

    /** Returns a plain-text connection target at this placer for a login and its passcode. */
    public ClientConnection.Target target(String login, String passcode) {
        return new ClientConnection.Target(address, login, passcode, heartbeat);
    }

    /**
     * Connects a client, which {@link #close} closes before the placer.
     *
     * @param events consumer of the events of tasks after their results
     */
    public TaskClient connect(ClientConnection.Target target, Consumer<TaskNews> events) {
        TaskClient client = TaskClient.connect(target, nextLoop(), events);
        beforeClose(client::close);
        return client;
    }

    /** Adds an action to run before the placer is closed; the action added last runs first. */
    public void beforeClose(Runnable action) {
        closeActions.push(action);
    }

    /** Runs the close actions, then stops the placer and the event loops. */
    @Override
    public void close() {
        closeActions.forEach(Runnable::run);
        placer.close();
        eventLoopGroup
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
