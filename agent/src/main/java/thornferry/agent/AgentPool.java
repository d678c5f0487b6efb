package thornferry.agent;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContext;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;

/** Many nodes in one process, spread over a few event loops. */
public final class AgentPool implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup loops;
    private final List<NodeAgent> nodes = new ArrayList<>();
    private final ZoneIdempotencyKeys keys = new ZoneIdempotencyKeys();

    private final SslContext tls;

    public AgentPool(int threads) {
        this(threads, null);
    }

    /**
     * @param tls for connections to placers; null for plain text
     */
    public AgentPool(int threads, SslContext tls) {
        this.tls = tls;
        loops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
    }

    /**
     * Starts a node that dials every one of the placers; {@code passcode} null where its
     * certificate tells who it is.
     */
    public NodeAgent add(
            NodeShape shape,
            NodeBehavior behaviour,
            List<SocketAddress> placers,
            String login,
            String passcode,
            Heartbeat heartbeat,
            long seed,
            NodeAgent.Watcher watcher) {
        return add(shape, behaviour, placers, login, passcode, heartbeat, seed, watcher, true);
    }

    /**
     * @param warm the node has run for long; else it has just started and is cold
     */
    public NodeAgent add(
            NodeShape shape,
            NodeBehavior behaviour,
            List<SocketAddress> placers,
            String login,
            String passcode,
            Heartbeat heartbeat,
            long seed,
            NodeAgent.Watcher watcher,
            boolean warm) {
        NodeAgent node =
                new NodeAgent(
                        shape,
                        behaviour,
                        keys,
                        loops.next(),
                        placers,
                        login,
                        passcode,
                        heartbeat,
                        FrameLimits.USUAL,
                        seed,
                        watcher,
                        tls,
                        warm);
        nodes.add(node);
        node.start();
        return node;
    }

    public List<NodeAgent> nodes() {
        return List.copyOf(nodes);
    }

    @Override
    public void close() {
        nodes.forEach(NodeAgent::close);
        loops.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
