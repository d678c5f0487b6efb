package thornferry.placer;

import io.netty.handler.codec.stomp.StompCommand;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Nodes;

/**
 * Serves the destinations of operators: the node list, draining and reloading. A node may also
 * drain itself.
 */
final class OperatorHandler {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorHandler.class);
    private static final String NODES_MESSAGE_ID = "nodes";

    private final PlacerInstance instance;
    private final PlacerCore core;
    private final Connections connections;
    private final ConfigurationReloader reloader;
    private final Set<ServerSession> nodeListSubscribers = new LinkedHashSet<>();
    private Nodes lastSentNodes = Nodes.getDefaultInstance();

    OperatorHandler(
            PlacerInstance instance,
            PlacerCore core,
            Connections connections,
            ConfigurationReloader reloader) {
        this.instance = instance;
        this.core = core;
        this.connections = connections;
        this.reloader = reloader;
    }

    void reload() throws ProtocolException {
        Optional<String> error = reloader.reload();
        if (error.isPresent()) {
            throw new ProtocolException(
                    "not reloaded, the former configuration stays", error.get());
        }
    }

    void drain(ServerSession session, Frame frame) throws ProtocolException {
        Drain drain = Bodies.read(frame, Drain.getDefaultInstance());
        ConnectionState state = connections.stateOf(session);
        boolean isOwnNode = drain.getNode().equals(core.membership().machineOf(state.connection));
        if (state.account.role() != Account.Role.OPERATOR && !isOwnNode) {
            throw new ProtocolException(
                    "login " + session.login() + " may not drain " + drain.getNode());
        }
        if (!core.drain(drain.getNode(), drain.getOn())) {
            throw new ProtocolException("no node " + drain.getNode());
        }
        LOG.atInfo()
                .addKeyValue("instance", instance.name())
                .addKeyValue("node", drain.getNode())
                .log(drain.getOn() ? "drain started" : "drain ended");
    }

    void subscribeToNodes(ServerSession session) {
        nodeListSubscribers.add(session);
        Nodes nodes = nodes();
        // deferred, so that the receipt of the SUBSCRIBE is sent first
        instance.loop().execute(() -> send(session, nodes));
    }

    void unsubscribeFromNodes(ServerSession session) {
        nodeListSubscribers.remove(session);
    }

    /**
     * Sends the node list to its subscribers if it changed since it was last sent to all of them.
     */
    void sendChangedNodes() {
        if (nodeListSubscribers.isEmpty()) {
            return;
        }
        Nodes nodes = nodes();
        if (!nodes.equals(lastSentNodes)) {
            lastSentNodes = nodes;
            // a copy, since sending to a session may close it and so remove it from the set
            List.copyOf(nodeListSubscribers).forEach(session -> send(session, nodes));
        }
    }

    private Nodes nodes() {
        return ProtocolMapper.nodes(core, instance.clock().now());
    }

    private static void send(ServerSession session, Nodes nodes) {
        session.message(
                Destinations.NODES,
                NODES_MESSAGE_ID,
                Bodies.write(Frame.of(StompCommand.MESSAGE), nodes, false));
    }
}
