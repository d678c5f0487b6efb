package thornferry.agent;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs many node agents in one process, distributed over a few event loops. */
public final class AgentPool implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final MultiThreadIoEventLoopGroup eventLoops;
    private final List<NodeAgent> nodes = new ArrayList<>();
    private final ZoneIdempotencyKeys keys = new ZoneIdempotencyKeys();
    private final SslContext tls;

    /** Creates a pool that connects in plain text. */
    public AgentPool(int threads) {
        this(threads, null);
    }

    /**
     * Creates a pool.
     *
     * @param threads number of event loops
     * @param tls TLS context of the connections to placers; null for plain text
     */
    public AgentPool(int threads, SslContext tls) {
        this.tls = tls;
        eventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Starts a node that skips slow start, as if it had been up for a long time. */
    public NodeAgent add(
            NodeShape shape,
            NodeBehavior behavior,
            PlacerLogin login,
            long seed,
            NodeAgent.Watcher watcher) {
        return add(shape, behavior, login, seed, watcher, true);
    }

    /**
     * Starts a node that connects to each placer of {@code login}.
     *
     * @param seed seed of the node's random number generators
     * @param watcher observes the node's messages
     * @param warm true to skip slow start, as if the node had been up for a long time
     */
    public NodeAgent add(
            NodeShape shape,
            NodeBehavior behavior,
            PlacerLogin login,
            long seed,
            NodeAgent.Watcher watcher,
            boolean warm) {
        NodeAgent.Environment environment = new NodeAgent.Environment(eventLoops.next(), keys, tls);
        NodeAgent node = new NodeAgent(shape, behavior, login, environment, seed, watcher, warm);
        nodes.add(node);
        node.start();
        return node;
    }

    /** Returns the nodes in the order in which they were added. */
    public List<NodeAgent> nodes() {
        return List.copyOf(nodes);
    }

    /** Closes all nodes without notifying the placers, and stops the event loops. */
    @Override
    public void close() {
        nodes.forEach(NodeAgent::close);
        eventLoops
                .shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
