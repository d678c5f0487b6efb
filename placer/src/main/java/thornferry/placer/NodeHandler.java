package thornferry.placer;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.stomp.StompCommand;
import java.util.Optional;
import thornferry.decisions.requests.RequestTracker;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;

/**
 * Serves the destinations of nodes: registration, reports about attempts, answers to health checks,
 * and the offers and other orders that a node receives.
 */
final class NodeHandler {
    private static final String WELCOME_MESSAGE_ID = "welcome";
    private static final String CANCELLATION_ID_PREFIX = "w";
    private static final String HEALTH_CHECK_ID_PREFIX = "p";
    private static final String DRAIN_ID_PREFIX = "d";

    private final PlacerInstance instance;
    private final PlacerCore core;
    private final Connections connections;

    NodeHandler(PlacerInstance instance, PlacerCore core, Connections connections) {
        this.instance = instance;
        this.core = core;
        this.connections = connections;
    }

    // ---- what nodes send ----

    void register(ServerSession session, Frame frame) throws ProtocolException {
        ConnectionState state = connections.stateOf(session);
        state.usesProtobuf = Bodies.PROTOBUF.equals(frame.header("content-type"));
        Register register = Bodies.read(frame, Register.getDefaultInstance());
        String offers = Destinations.offers(register.getNode());
        if (!session.subscribedTo(offers)) {
            throw new ProtocolException("subscribe to " + offers + " before registering");
        }
        connections.addNodeSession(session);
        core.registered(ProtocolMapper.registration(register, state.connection, instance.clock()));
    }

    void report(ServerSession session, Frame frame) throws ProtocolException {
        Answer answer = Bodies.read(frame, Answer.getDefaultInstance());
        String machine = requireRegistered(session, answer.getNode());
        if (answer.getKind() == Answer.Kind.USES) {
            core.usageReported(
                    machine, answer.getAttempt(), answer.getCoresUsed(), answer.getMemoryUsed());
        } else {
            core.attemptReported(machine, ProtocolMapper.attemptReport(answer));
        }
    }

    void answerHealthCheck(ServerSession session, Frame frame) throws ProtocolException {
        ProbeReply reply = Bodies.read(frame, ProbeReply.getDefaultInstance());
        core.healthCheckAnswered(
                requireRegistered(session, reply.getNode()),
                reply.getNumber(),
                ProtocolMapper.loadReport(reply.getLoad()));
    }

    private String requireRegistered(ServerSession session, String node) throws ProtocolException {
        String machine = core.membership().machineOf(connections.stateOf(session).connection);
        if (machine == null || !machine.equals(node)) {
            throw new ProtocolException("node " + node + " is not registered on this connection");
        }
        return machine;
    }

    // ---- what nodes receive ----

    /** See {@link PlacerOutput#offer}. */
    boolean offer(String machine, String attempt, RequestTracker.OfferDetails details) {
        Order order = ProtocolMapper.offer(instance.name(), attempt, details);
        Optional<ChannelFuture> written = send(machine, order, attempt);
        written.ifPresent(
                future ->
                        future.addListener(
                                done -> {
                                    if (!done.isSuccess()) {
                                        core.notWritten(attempt);
                                    }
                                }));
        return written.isPresent();
    }

    void cancelAttempt(String machine, String attempt) {
        send(machine, ProtocolMapper.cancellation(attempt), CANCELLATION_ID_PREFIX + attempt);
    }

    /** See {@link PlacerOutput#checkHealth}. */
    boolean checkHealth(String machine, long number) {
        Order order = ProtocolMapper.healthCheck(number);
        return send(machine, order, HEALTH_CHECK_ID_PREFIX + number).isPresent();
    }

    void notifyDrain(String machine, boolean draining) {
        send(machine, ProtocolMapper.drain(machine, draining), DRAIN_ID_PREFIX + machine);
    }

    void welcome(String machine, long retentionMicros) {
        Order order = ProtocolMapper.welcome(instance.name(), retentionMicros);
        send(machine, order, WELCOME_MESSAGE_ID);
    }

    /** Closes the connection of a node with an ERROR frame. */
    void closeConnection(long connection, String reason) {
        connections.nodeSession(connection).ifPresent(session -> session.fail(reason, null));
    }

    /**
     * Sends an order to a machine.
     *
     * @return the future of the write, or empty if nothing was written
     */
    private Optional<ChannelFuture> send(String machine, Order order, String messageId) {
        return connections
                .nodeSession(core.membership().connectionOf(machine))
                .map(session -> send(session, machine, order, messageId));
    }

    private ChannelFuture send(
            ServerSession session, String machine, Order order, String messageId) {
        boolean usesProtobuf = connections.stateOf(session).usesProtobuf;
        Frame frame = Bodies.write(Frame.of(StompCommand.MESSAGE), order, usesProtobuf);
        return session.message(Destinations.offers(machine), messageId, frame);
    }
}
