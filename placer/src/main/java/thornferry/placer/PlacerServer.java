package thornferry.placer;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.stomp.StompCommand;
import io.netty.handler.ssl.SslHandler;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.attempts.AttemptStatus;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.LoadReport;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.recovery.RetainedAttempt;
import thornferry.decisions.requests.InvalidRequestException;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.decisions.requests.TaskSpec;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Effect;
import thornferry.protocol.v1.Held;
import thornferry.protocol.v1.LimitsQuery;
import thornferry.protocol.v1.Load;
import thornferry.protocol.v1.NodeView;
import thornferry.protocol.v1.Nodes;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.Probe;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.StopTask;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.WaitingQuery;
import thornferry.protocol.v1.Welcome;
import thornferry.protocol.v1.WhyQuery;
import thornferry.protocol.v1.Withdraw;
import thornferry.security.Tls;

/**
 * One placer on its sockets: sessions, destinations and bodies around its {@link PlacerCore}. It
 * carries events in and actions out and decides nothing. Everything runs on the event loop.
 */
final class PlacerServer implements ServerSession.SessionHandler, PlacerCore.Output {
    private static final Logger LOG = LoggerFactory.getLogger(PlacerServer.class);
    private static final long TICK_MS = 20;
    private static final int SLOW_TICK =
            5; // the operators' view is looked after every so many ticks

    /**
     * Waiting tasks told to one session in one tick; what is left is told in the next, as it then
     * stands.
     */
    private static final int TOLD_AT_ONCE = 256;

    private static final int WAITING_MOST = 10_000;

    /** What the instance keeps with a session. */
    private static final class ConnectionState {
        final long link;
        final Account account;
        boolean binary; // whether the node speaks protobuf to us
        final Set<String> dirty = new LinkedHashSet<>(); // own tasks whose reasons are to be told

        ConnectionState(long link, Account account) {
            this.link = link;
            this.account = account;
        }
    }

    private final String name;
    private final EventLoop loop;
    private final Clock clock;
    private final PlacerCore core;
    private final LoginAuthenticator gate;
    private final ConfigurationReloader reloading;
    private final Map<Long, ServerSession> links = new HashMap<>();
    private final Map<String, Set<ServerSession>> owners =
            new HashMap<>(); // those who watch their results
    private final Map<String, Set<ServerSession>> waiters =
            new LinkedHashMap<>(); // those who watch reasons
    private final Set<ServerSession> watchers = new LinkedHashSet<>(); // of the nodes
    private Nodes shown = Nodes.getDefaultInstance();
    private long linkNumber;
    private long replyNumber;
    private long askCount;
    private int ticks;

    /** Reads the configuration anew. */
    interface ConfigurationReloader {
        /** Null where it went well, else what is wrong; the former configuration then stays. */
        String reload();

        /** When and how the last one went. */
        String last();
    }

    PlacerServer(
            Site site,
            int number,
            EventLoop loop,
            Clock clock,
            LoginAuthenticator gate,
            ConfigurationReloader reloading,
            Function<Placement.Settings, Placement> maker,
            PlacerCore.RecoveredState kept) {
        this.name = name(site, number);
        this.loop = loop;
        this.clock = clock;
        this.gate = gate;
        this.reloading = reloading;
        this.core =
                new PlacerCore(
                        site,
                        number,
                        name,
                        loop,
                        clock,
                        maker,
                        owner -> {
                            Account account = gate.account(owner);
                            return account == null ? "" : account.tenant();
                        },
                        kept,
                        this);
        loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    String name() {
        return name;
    }

    static String name(Site site, int number) {
        return site.name() + "-" + number;
    }

    /** See {@link PlacerCore#recordsToKeep}. */
    List<JournalRecord> recordsToKeep() {
        return core.recordsToKeep();
    }

    /** To be called on the event loop. */
    Placer.Totals counts() {
        return core.totals(askCount);
    }

    /** Likewise. */
    void reload(Site site) {
        core.reload(site.admission());
    }

    private void tick() {
        try {
            core.tick();
            waiters.values().forEach(sessions -> sessions.forEach(this::tellReasons));
            if (++ticks % SLOW_TICK == 0) {
                show();
            }
        } catch (RuntimeException e) {
            LOG.atError()
                    .addKeyValue("instance", name)
                    .setCause(e)
                    .log("a tick failed"); // the next one goes on
        }
    }

    // ---- sessions ----
    @Override
    public void connecting(ServerSession session, String login, String passcode) {
        SslHandler tls = session.channel().pipeline().get(SslHandler.class);
        String certified = tls == null ? null : Tls.peer(tls.engine().getSession());
        if (certified != null && passcode == null) {
            if (!LoginAuthenticator.fits(login, certified)) {
                session.fail("the certificate is not that of the login", null);
            } else if (gate.account(certified) == null) {
                session.fail("login or passcode not accepted", null);
            } else {
                session.admit(certified);
            }
            return;
        }
        if (tls != null && login == null && passcode == null) {
            // JDK clients hold back a certificate that the authorities named by the server did not
            // sign
            session.fail(
                    "no login, and no certificate that this site's authority has signed", null);
            return;
        }
        gate.check(
                session.peerAddress(),
                login,
                passcode,
                (micros, what) -> loop.schedule(what, micros, TimeUnit.MICROSECONDS),
                no ->
                        onLoop(
                                () -> {
                                    if (no == null) {
                                        session.admit(login);
                                    } else {
                                        session.fail(no, null);
                                    }
                                }));
    }

    private void onLoop(Runnable what) {
        if (loop.inEventLoop()) {
            what.run();
        } else {
            loop.execute(what);
        }
    }

    private ConnectionState peer(ServerSession session) {
        if (session.attachment() == null) {
            session.attach(new ConnectionState(++linkNumber, gate.account(session.login())));
        }
        return (ConnectionState) session.attachment();
    }

    private void allow(
            ServerSession session, DestinationPermissions.Endpoint to, String destination)
            throws ProtocolException {
        Account account = peer(session).account;
        if (account == null || !DestinationPermissions.allows(account.role(), to)) {
            throw new ProtocolException("login " + session.login() + " may not use " + destination);
        }
    }

    @Override
    public void sent(ServerSession session, String destination, Frame frame)
            throws ProtocolException {
        DestinationPermissions.Endpoint to = DestinationPermissions.send(destination);
        if (to == null) {
            throw new ProtocolException("unknown destination " + destination);
        }
        allow(session, to, destination);
        switch (to) {
            case TASKS -> ask(session, Bodies.read(frame, Task.newBuilder()));
            case STOP -> {
                StopTask stop = Bodies.read(frame, StopTask.newBuilder());
                try {
                    core.stop(session.login(), stop.getId());
                } catch (InvalidRequestException e) {
                    throw new ProtocolException(e.getMessage());
                }
            }
            case WHY -> {
                WhyQuery q = Bodies.read(frame, WhyQuery.newBuilder());
                reply(
                        session,
                        frame,
                        ProtocolMapper.why(
                                core.reasons().explain(clock.now(), session.login(), q.getTask()),
                                true));
            }
            case WAITING -> {
                Bodies.<WaitingQuery>read(frame, WaitingQuery.newBuilder());
                boolean all = peer(session).account.role() == Account.Role.OPERATOR;
                reply(session, frame, ProtocolMapper.table(core, all ? null : session.login()));
            }
            case LIMITS -> {
                Bodies.<LimitsQuery>read(frame, LimitsQuery.newBuilder());
                Account account = peer(session).account;
                reply(
                        session,
                        frame,
                        ProtocolMapper.limits(core.line(), account, reloading.last()));
            }
            case RELOAD -> {
                String wrong = reloading.reload();
                if (wrong != null) {
                    throw new ProtocolException(
                            "not reloaded, the former configuration stays", wrong);
                }
            }
            case REGISTER -> {
                peer(session).binary = Bodies.PROTOBUF.equals(frame.header("content-type"));
                register(session, Bodies.read(frame, Register.newBuilder()));
            }
            case ANSWERS -> {
                Answer answer = Bodies.read(frame, Answer.newBuilder());
                answer(registered(session, answer.getNode()), answer);
            }
            case PROBES -> {
                ProbeReply reply = Bodies.read(frame, ProbeReply.newBuilder());
                core.healthCheckAnswered(
                        registered(session, reply.getNode()),
                        reply.getNumber(),
                        report(reply.getLoad()));
            }
            case DRAIN -> drain(session, Bodies.read(frame, Drain.newBuilder()));
            default -> throw new ProtocolException(destination + " is to subscribe to");
        }
    }

    /** Answers a question on the connection that asked it, to the destination that it named. */
    private void reply(ServerSession session, Frame question, com.google.protobuf.Message answer)
            throws ProtocolException {
        String to = question.header("reply-to", "");
        if (!to.startsWith(Destinations.REPLIES) || !session.subscribedTo(to)) {
            throw new ProtocolException(
                    "reply-to must name a destination under "
                            + Destinations.REPLIES
                            + " that this connection is subscribed to");
        }
        Frame frame =
                Frame.of(StompCommand.MESSAGE, "correlation-id", question.header("correlation-id"));
        session.message(to, "a" + ++replyNumber, Bodies.write(frame, answer, false));
    }

    private String registered(ServerSession session, String node) throws ProtocolException {
        String machine = core.membership().machineOf(peer(session).link);
        if (machine == null || !machine.equals(node)) {
            throw new ProtocolException("node " + node + " is not registered on this connection");
        }
        return machine;
    }

    private void ask(ServerSession session, Task task) throws ProtocolException {
        try {
            askCount++;
            core.submit(session.login(), wish(task));
        } catch (InvalidRequestException e) {
            throw new ProtocolException("task not taken: " + e.getMessage());
        }
    }

    private static TaskSpec wish(Task t) {
        Long patience = t.hasPatienceMs() ? (Long) micros(t.getPatienceMs()) : null;
        return new TaskSpec(
                t.getId(),
                t.getTaskClass(),
                t.getService(),
                t.getKey(),
                t.getCores(),
                t.getMemory(),
                patience,
                micros(t.getRunsForMs()));
    }

    private static long micros(long ms) {
        return ms > Long.MAX_VALUE / 2_000 ? Long.MAX_VALUE / 2 : ms * 1_000;
    }

    private void drain(ServerSession session, Drain drain) throws ProtocolException {
        ConnectionState peer = peer(session);
        boolean itself = drain.getNode().equals(core.membership().machineOf(peer.link));
        if (peer.account.role() != Account.Role.OPERATOR && !itself) {
            throw new ProtocolException(
                    "login " + session.login() + " may not drain " + drain.getNode());
        }
        if (!core.drain(drain.getNode(), drain.getOn())) {
            throw new ProtocolException("no node " + drain.getNode());
        }
        LOG.atInfo()
                .addKeyValue("instance", name)
                .addKeyValue("node", drain.getNode())
                .log(drain.getOn() ? "drains" : "no longer drains");
    }

    @Override
    public void subscribed(ServerSession session, String id, String destination)
            throws ProtocolException {
        DestinationPermissions.Endpoint to = DestinationPermissions.subscribe(destination);
        if (to == null) {
            throw new ProtocolException("unknown destination " + destination);
        }
        allow(session, to, destination);
        switch (to) {
            case RESULTS -> {
                owners.computeIfAbsent(session.login(), o -> new LinkedHashSet<>()).add(session);
                // after this frame is done with, so that the receipt of the SUBSCRIBE goes first
                loop.execute(() -> core.undelivered(session.login()).forEach(this::notifyResult));
            }
            case WAITING -> {
                waiters.computeIfAbsent(session.login(), o -> new LinkedHashSet<>()).add(session);
                core.reasons()
                        .waiting(clock.now(), session.login(), WAITING_MOST)
                        .forEach(why -> peer(session).dirty.add(why.task()));
            }
            case NODES -> {
                watchers.add(session);
                Nodes now = nodes();
                loop.execute(() -> session.message(Destinations.NODES, "nodes", nodesFrame(now)));
            }
            default -> {} // offers and replies: messages go to the subscription when there are any
        }
    }

    @Override
    public void unsubscribed(ServerSession session, String destination) {
        if (!session.subscribedTo(destination)) {
            forget(session, destination);
        }
    }

    private void forget(ServerSession session, String destination) {
        if (destination.equals(Destinations.RESULTS)) {
            remove(owners, session);
        } else if (destination.equals(Destinations.WAITING)) {
            remove(waiters, session);
            peer(session).dirty.clear();
        } else if (destination.equals(Destinations.NODES)) {
            watchers.remove(session);
        }
    }

    private static void remove(Map<String, Set<ServerSession>> from, ServerSession session) {
        Set<ServerSession> watching = from.get(session.login());
        if (watching != null && watching.remove(session) && watching.isEmpty()) {
            from.remove(session.login());
        }
    }

    @Override
    public void acknowledged(ServerSession session, String messageId, boolean good) {
        if (good && messageId.startsWith("n")) {
            core.delivered(session.login(), Long.parseLong(messageId.substring(1)));
        }
    }

    @Override
    public void closed(ServerSession session, String why) {
        ConnectionState peer = peer(session);
        forget(session, Destinations.RESULTS);
        forget(session, Destinations.WAITING);
        forget(session, Destinations.NODES);
        String machine = core.membership().machineOf(peer.link);
        links.remove(peer.link);
        if (machine != null) {
            LOG.atWarn()
                    .addKeyValue("instance", name)
                    .addKeyValue("node", machine)
                    .log("connection over: {}", why);
            core.connectionClosed(peer.link);
        }
    }

    // ---- nodes ----
    private void register(ServerSession session, Register r) throws ProtocolException {
        if (!session.subscribedTo(Destinations.offers(r.getNode()))) {
            throw new ProtocolException(
                    "subscribe to " + Destinations.offers(r.getNode()) + " before registering");
        }
        ConnectionState peer = peer(session);
        links.put(peer.link, session);
        List<PlacerCore.HeldAttempt> held = new ArrayList<>();
        for (Held h : r.getHeldList()) {
            held.add(
                    new PlacerCore.HeldAttempt(
                            h.getAttempt(), h.getOwner(), wish(h.getTask()), h.getRuns()));
        }
        List<PlacerCore.AttemptReport> recent = new ArrayList<>();
        List<RetainedAttempt> recalled = new ArrayList<>();
        for (Answer a : r.getRecentList()) {
            if (a.getKind() != Answer.Kind.USES) {
                recent.add(said(a));
            }
            if (a.hasTask() && !a.getOwner().isEmpty()) {
                recalled.add(
                        new RetainedAttempt(
                                a.getAttempt(),
                                a.getOwner(),
                                wish(a.getTask()),
                                effect(a.getEffect()),
                                said(a).status(),
                                a.getRan(),
                                clock.now() - micros(Math.max(0, a.getEndedMsAgo()))));
            }
        }
        Map<Placement.Idempotency, Long> since = new EnumMap<>(Placement.Idempotency.class);
        if (r.hasForgotUnsafeMs()) {
            since.put(Placement.Idempotency.NON_IDEMPOTENT, since(r.getForgotUnsafeMs()));
        }
        if (r.hasForgotKeyedMs()) {
            since.put(Placement.Idempotency.IDEMPOTENT_WITH_KEY, since(r.getForgotKeyedMs()));
        }
        Load load =
                r.hasLoad()
                        ? r.getLoad()
                        : Load.newBuilder()
                                .setCoresFree(r.getCores())
                                .setMemoryFree(r.getMemory())
                                .build();
        core.registered(
                peer.link,
                new Membership.Registration(
                        r.getNode(),
                        r.getIncarnation(),
                        r.getKind(),
                        r.getZone(),
                        r.getCell(),
                        r.getCores(),
                        r.getMemory(),
                        micros(r.getUptimeMs()),
                        load.getCoresFree(),
                        load.getMemoryFree()),
                held,
                recent,
                recalled,
                since);
    }

    private long since(long forgotMsAgo) {
        return forgotMsAgo <= 0
                ? MachineInventory.WHOLE_INCARNATION
                : clock.now() - micros(forgotMsAgo);
    }

    private static Placement.Idempotency effect(Effect e) {
        return switch (e) {
            case KEYED -> Placement.Idempotency.IDEMPOTENT_WITH_KEY;
            case UNSAFE -> Placement.Idempotency.NON_IDEMPOTENT;
            default -> Placement.Idempotency.IDEMPOTENT;
        };
    }

    private void answer(String machine, Answer a) throws ProtocolException {
        if (a.getKind() == Answer.Kind.USES) {
            core.usageReported(machine, a.getAttempt(), a.getCoresUsed(), a.getMemoryUsed());
        } else {
            core.attemptReported(machine, said(a));
        }
    }

    private static PlacerCore.AttemptReport said(Answer a) throws ProtocolException {
        AttemptStatus word =
                switch (a.getKind()) {
                    case ACCEPTED -> AttemptStatus.ACCEPTED;
                    case REFUSED -> AttemptStatus.REJECTED;
                    case RUNS -> AttemptStatus.RUNNING;
                    case ENDED -> AttemptStatus.COMPLETED;
                    case EVICTED -> AttemptStatus.EVICTED;
                    case SENT_AWAY -> AttemptStatus.EVACUATED;
                    case WITHDRAWN -> AttemptStatus.CANCELLED;
                    default -> throw new ProtocolException("an answer must have a known kind");
                };
        RejectionReason why =
                switch (a.getReason()) {
                    case NO_CORES -> RejectionReason.INSUFFICIENT_CORES;
                    case NO_MEMORY -> RejectionReason.INSUFFICIENT_MEMORY;
                    case OFFERS_WAIT -> RejectionReason.QUEUE_FULL;
                    case NOT_HERE -> RejectionReason.UNAVAILABLE;
                    case KEY_HELD -> RejectionReason.KEY_HELD;
                    case DRAINING -> RejectionReason.DRAINING;
                    default -> RejectionReason.NONE;
                };
        return new PlacerCore.AttemptReport(
                a.getAttempt(), word, why, a.getRan(), a.hasLoad() ? report(a.getLoad()) : null);
    }

    private static LoadReport report(Load load) {
        return new LoadReport(
                load.getCoresFree(), load.getMemoryFree(), LoadReport.UNKNOWN, load.getWaiting());
    }

    // ---- what the core sends ----
    @Override
    public boolean offer(String machine, String attempt, RequestTracker.OfferDetails of) {
        TaskSpec w = of.spec();
        Task.Builder task =
                Task.newBuilder()
                        .setId(w.id())
                        .setTaskClass(w.taskClass())
                        .setService(w.service())
                        .setKey(w.idempotencyKey())
                        .setCores(w.cores())
                        .setMemory(w.memory())
                        .setRunsForMs(w.expectedRunMicros() / 1_000);
        Order order =
                Order.newBuilder()
                        .setOffer(
                                Offer.newBuilder()
                                        .setAttempt(attempt)
                                        .setTask(task)
                                        .setOwner(of.owner())
                                        .setPlacer(name)
                                        .setEffect(WireWords.effect(of.idempotency())))
                        .build();
        ChannelFuture written = send(machine, order, attempt);
        if (written != null) {
            written.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            core.notWritten(attempt);
                        }
                    });
        }
        return written != null;
    }

    private ChannelFuture send(String machine, Order order, String id) {
        ServerSession session = links.get(core.membership().connectionOf(machine));
        if (session == null) {
            return null;
        }
        Frame frame = Bodies.write(Frame.of(StompCommand.MESSAGE), order, peer(session).binary);
        return session.message(Destinations.offers(machine), id, frame);
    }

    @Override
    public void cancelAttempt(String machine, String attempt) {
        send(
                machine,
                Order.newBuilder().setWithdraw(Withdraw.newBuilder().setAttempt(attempt)).build(),
                "w" + attempt);
    }

    @Override
    public boolean checkHealth(String machine, long number) {
        return send(
                        machine,
                        Order.newBuilder().setProbe(Probe.newBuilder().setNumber(number)).build(),
                        "p" + number)
                != null;
    }

    @Override
    public void notifyDrain(String machine, boolean on) {
        send(
                machine,
                Order.newBuilder().setDrain(Drain.newBuilder().setNode(machine).setOn(on)).build(),
                "d" + machine);
    }

    @Override
    public void welcome(String machine, long remember) {
        send(
                machine,
                Order.newBuilder()
                        .setWelcome(
                                Welcome.newBuilder()
                                        .setPlacer(name)
                                        .setRememberMs(remember / 1_000))
                        .build(),
                "welcome");
    }

    @Override
    public void closeConnection(long link, String why) {
        ServerSession session = links.get(link);
        if (session != null) {
            session.fail(why, null);
        }
    }

    @Override
    public void notifyResult(ResultNotification news) {
        Set<ServerSession> watching = owners.get(news.owner());
        if (watching == null) {
            return; // kept until its owner subscribes
        }
        Frame frame = frame(news);
        for (ServerSession session : new ArrayList<>(watching)) {
            ChannelFuture written =
                    session.message(Destinations.RESULTS, "n" + news.sequence(), frame);
            if (written != null && !session.acknowledges(Destinations.RESULTS)) {
                written.addListener(
                        done -> {
                            if (done.isSuccess()) {
                                core.delivered(news.owner(), news.sequence());
                            }
                        });
            }
        }
    }

    private static Frame frame(ResultNotification n) {
        String result = n.result() == null ? null : WireWords.result(n.result());
        String event = n.terminationCause() == null ? null : WireWords.event(n.terminationCause());
        long retryMs = (n.retryAfterMicros() + 999) / 1_000;
        TaskNews.Builder body =
                TaskNews.newBuilder()
                        .setTask(n.task())
                        .setNode(n.machine())
                        .setReason(n.reason())
                        .setRetryAfterMs(retryMs);
        if (result != null) {
            body.setResult(result);
        } else {
            body.setEvent(event);
        }
        Frame frame =
                Frame.of(
                        StompCommand.MESSAGE,
                        "task",
                        n.task(),
                        "result",
                        result,
                        "event",
                        event,
                        "node",
                        n.machine().isEmpty() ? null : n.machine(),
                        "reason",
                        n.reason().isEmpty() ? null : n.reason(),
                        "retry-after-ms",
                        retryMs > 0 ? Long.toString(retryMs) : null,
                        "repeat",
                        n.repeated() ? "true" : null);
        return Bodies.write(frame, body.build(), false);
    }

    // ---- reasons, for those who watch ----
    @Override
    public void reasonChanged(PendingReasons.ReasonChanged c) {
        Set<ServerSession> watching = waiters.get(c.owner());
        if (watching != null) {
            watching.forEach(session -> peer(session).dirty.add(c.task()));
        }
    }

    /**
     * Tells a session of its tasks whose reasons changed, as they stand at this moment: for a
     * reader slower than they change, what lies between is left out, and nothing piles up for it.
     */
    private void tellReasons(ServerSession session) {
        Iterator<String> dirty = peer(session).dirty.iterator();
        for (int i = 0; i < TOLD_AT_ONCE && dirty.hasNext() && session.writable(); i++) {
            String task = dirty.next();
            dirty.remove();
            PendingReasons.Explanation why =
                    core.reasons().explain(clock.now(), session.login(), task);
            session.message(
                    Destinations.WAITING,
                    "y" + ++replyNumber,
                    Bodies.write(
                            Frame.of(
                                    StompCommand.MESSAGE,
                                    "task",
                                    task,
                                    "state",
                                    WireWords.state(why.state())),
                            ProtocolMapper.why(why, false),
                            false));
        }
    }

    // ---- operators ----
    private Nodes nodes() {
        Nodes.Builder nodes = Nodes.newBuilder();
        for (Membership.MachineView v : core.membership().view(clock.now())) {
            nodes.addNodes(
                    NodeView.newBuilder()
                            .setNode(v.machine())
                            .setIncarnation(v.incarnation())
                            .setKind(v.kind())
                            .setZone(v.zone())
                            .setState(v.state())
                            .setCores(v.cores())
                            .setMemory(v.memory())
                            .setTasks(core.attemptsAt(v.machine()))
                            .setNote(v.note()));
        }
        return nodes.build();
    }

    private static Frame nodesFrame(Nodes nodes) {
        return Bodies.write(Frame.of(StompCommand.MESSAGE), nodes, false);
    }

    private void show() {
        if (watchers.isEmpty()) {
            return;
        }
        Nodes now = nodes();
        if (!now.equals(shown)) {
            shown = now;
            new ArrayList<>(watchers)
                    .forEach(w -> w.message(Destinations.NODES, "nodes", nodesFrame(now)));
        }
    }
}
