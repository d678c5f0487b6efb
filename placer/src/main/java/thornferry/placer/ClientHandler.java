package thornferry.placer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.stomp.StompCommand;
import java.util.Iterator;
import java.util.List;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.ResultNotification;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;
import thornferry.protocol.v1.LimitsQuery;
import thornferry.protocol.v1.StopTask;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.WaitingQuery;
import thornferry.protocol.v1.WhyQuery;

/**
 * Serves the destinations of clients: submitting and stopping tasks, results, pending reasons and
 * quotas.
 */
final class ClientHandler {
    /** The prefix of the message id of a result; the sequence number follows. */
    private static final String RESULT_ID_PREFIX = "n";

    /** The prefix of the message id of a pending reason; a unique number follows. */
    private static final String REASON_ID_PREFIX = "y";

    /**
     * The maximum number of reasons sent to one session in a tick. The next tick sends the others,
     * with the reasons that apply by then.
     */
    private static final int MAX_REASONS_PER_TICK = 256;

    /** The maximum number of waiting tasks whose reasons are sent after a client subscribes. */
    private static final int MAX_INITIAL_REASONS = 10_000;

    private final PlacerInstance instance;
    private final PlacerCore core;
    private final Connections connections;
    private final ReplySender replies;
    private final ConfigurationReloader reloader;
    private final Subscribers resultSubscribers = new Subscribers();
    private final Subscribers reasonSubscribers = new Subscribers();
    private long requestCount;

    ClientHandler(
            PlacerInstance instance,
            PlacerCore core,
            Connections connections,
            ReplySender replies,
            ConfigurationReloader reloader) {
        this.instance = instance;
        this.core = core;
        this.connections = connections;
        this.replies = replies;
        this.reloader = reloader;
    }

    /** Returns the number of requests received, valid or not. */
    long requestCount() {
        return requestCount;
    }

    // ---- what clients send ----

    void submit(ServerSession session, Frame frame) throws ProtocolException {
        Task task = Bodies.read(frame, Task.getDefaultInstance());
        requestCount++;
        try {
            core.submit(session.login(), ProtocolMapper.taskSpec(task));
        } catch (InvalidRequestException e) {
            throw new ProtocolException("task not taken: " + e.getMessage());
        }
    }

    void stop(ServerSession session, Frame frame) throws ProtocolException {
        StopTask stop = Bodies.read(frame, StopTask.getDefaultInstance());
        try {
            core.stop(session.login(), stop.getId());
        } catch (InvalidRequestException e) {
            throw new ProtocolException(e.getMessage());
        }
    }

    void explain(ServerSession session, Frame frame) throws ProtocolException {
        WhyQuery query = Bodies.read(frame, WhyQuery.getDefaultInstance());
        PendingReasons.Explanation explanation = explanation(session.login(), query.getTask());
        replies.reply(session, frame, ProtocolMapper.why(explanation, true));
    }

    /**
     * Replies with the counts of waiting tasks: those of all owners to an operator, else those of
     * the client alone.
     */
    void countWaiting(ServerSession session, Frame frame) throws ProtocolException {
        Bodies.read(frame, WaitingQuery.getDefaultInstance());
        boolean isOperator = connections.stateOf(session).account.role() == Account.Role.OPERATOR;
        replies.reply(
                session,
                frame,
                isOperator
                        ? ProtocolMapper.siteWaitingTable(core)
                        : ProtocolMapper.ownWaitingTable(core, session.login()));
    }

    void showLimits(ServerSession session, Frame frame) throws ProtocolException {
        Bodies.read(frame, LimitsQuery.getDefaultInstance());
        Account account = connections.stateOf(session).account;
        replies.reply(
                session,
                frame,
                ProtocolMapper.limits(core.admissionQueue(), account, reloader.lastReload()));
    }

    /** Processes the ACK or NACK frame of a client for a message. */
    void acknowledged(ServerSession session, String messageId, boolean accepted) {
        if (accepted && messageId.startsWith(RESULT_ID_PREFIX)) {
            String sequence = messageId.substring(RESULT_ID_PREFIX.length());
            core.delivered(session.login(), Long.parseLong(sequence));
        }
    }

    // ---- subscriptions ----

    void subscribeToResults(ServerSession session) {
        resultSubscribers.add(session);
        // deferred, so that the receipt of the SUBSCRIBE is sent first
        EventLoop loop = instance.loop();
        loop.execute(() -> core.undelivered(session.login()).forEach(this::notifyResult));
    }

    void unsubscribeFromResults(ServerSession session) {
        resultSubscribers.remove(session);
    }

    void subscribeToReasons(ServerSession session) {
        reasonSubscribers.add(session);
        core.reasons()
                .explainWaiting(instance.clock().now(), session.login(), MAX_INITIAL_REASONS)
                .forEach(
                        explanation ->
                                connections.stateOf(session).changedTasks.add(explanation.task()));
    }

    void unsubscribeFromReasons(ServerSession session) {
        reasonSubscribers.remove(session);
        connections.stateOf(session).changedTasks.clear();
    }

    // ---- what clients receive ----

    /**
     * Sends a result to the subscribed sessions of its owner. The result stays undelivered if there
     * are none.
     */
    void notifyResult(ResultNotification notification) {
        List<ServerSession> sessions = resultSubscribers.sessionsOf(notification.owner());
        if (sessions.isEmpty()) {
            return;
        }
        Frame frame = ProtocolMapper.resultFrame(notification);
        String messageId = RESULT_ID_PREFIX + notification.sequence();
        for (ServerSession session : sessions) {
            ChannelFuture written = session.message(Destinations.RESULTS, messageId, frame);
            if (written != null && !session.acknowledges(Destinations.RESULTS)) {
                written.addListener(
                        done -> {
                            if (done.isSuccess()) {
                                core.delivered(notification.owner(), notification.sequence());
                            }
                        });
            }
        }
    }

    /** Records for the sessions of its owner that the state or reason of a task changed. */
    void reasonChanged(PendingReasons.ReasonChanged changed) {
        reasonSubscribers
                .sessionsOf(changed.owner())
                .forEach(session -> connections.stateOf(session).changedTasks.add(changed.task()));
    }

    /**
     * Sends each subscriber the current reasons of its tasks that changed. A client that reads more
     * slowly than its reasons change misses the states in between, so at most one update per task
     * is pending for it.
     */
    void sendChangedReasons() {
        reasonSubscribers.forEach(this::sendChangedReasons);
    }

    private void sendChangedReasons(ServerSession session) {
        Iterator<String> changedTasks = connections.stateOf(session).changedTasks.iterator();
        for (int sent = 0;
                sent < MAX_REASONS_PER_TICK && changedTasks.hasNext() && session.writable();
                sent++) {
            String task = changedTasks.next();
            changedTasks.remove();
            sendReason(session, task);
        }
    }

    private void sendReason(ServerSession session, String task) {
        PendingReasons.Explanation explanation = explanation(session.login(), task);
        Frame headers =
                Frame.of(
                        StompCommand.MESSAGE,
                        "task",
                        task,
                        "state",
                        WireNames.state(explanation.state()));
        session.message(
                Destinations.WAITING,
                REASON_ID_PREFIX + replies.nextNumber(),
                Bodies.write(headers, ProtocolMapper.why(explanation, false), false));
    }

    private PendingReasons.Explanation explanation(String owner, String task) {
        return core.reasons().explain(instance.clock().now(), owner, task);
    }
}
