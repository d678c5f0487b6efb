package thornferry.agent;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Many node agents in one process, spread over a few event loops. */
public final class AgentPool implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final MultiThreadIoEventLoopGroup loops;
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
     * @param tls for connections to placers; null for plain text
     */
    public AgentPool(int threads, SslContext tls) {
        this.tls = tls;
        loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /** Starts a node that has been up for long, so that it has no slow start. */
    public NodeAgent add(
            NodeShape shape,
            NodeBehavior behavior,
            PlacerLogin login,
            long seed,
            NodeAgent.Watcher watcher) {
        return add(shape, behavior, login, seed, watcher, true);
    }

    /**
     * Starts a node, which connects to each placer of {@code login}.
     *
     * @param seed of the random draws of the node
     * @param watcher is notified of the node's messages
     * @param warm the node has been up for long; else it begins with a slow start
     */
    public NodeAgent add(
            NodeShape shape,
            NodeBehavior behavior,
            PlacerLogin login,
            long seed,
            NodeAgent.Watcher watcher,
            boolean warm) {
        NodeAgent.Environment environment = new NodeAgent.Environment(loops.next(), keys, tls);
        NodeAgent node = new NodeAgent(shape, behavior, login, environment, seed, watcher, warm);
        nodes.add(node);
        node.start();
        return node;
    }

    /** The nodes in the order in which they were added. */
    public List<NodeAgent> nodes() {
        return List.copyOf(nodes);
    }

    /** Closes all nodes without notice to the placers, and stops the event loops. */
    @Override
    public void close() {
        nodes.forEach(NodeAgent::close);
        loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .syncUninterruptibly();
    }
}
