package thornferry.placer;

import io.netty.handler.ssl.SslHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;
import thornferry.placer.DestinationPermissions.Endpoint;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.ServerSession;
import thornferry.protocol.SessionHandler;
import thornferry.security.Tls;

/**
 * The STOMP server of one placer instance. It authenticates sessions, checks permissions and routes
 * each frame to the handler of its role, and routes what the {@link PlacerCore} sends to the same
 * handlers. Everything runs on the event loop.
 */
final class PlacerServer implements SessionHandler, PlacerOutput {
    private static final Logger LOG = LoggerFactory.getLogger(PlacerServer.class);
    private static final long TICK_MILLIS = 20;

    /** The number of ticks between two comparisons of the node list with the one sent last. */
    private static final int TICKS_PER_NODE_LIST = 5;

    private final PlacerInstance instance;
    private final LoginAuthenticator authenticator;
    private final Connections connections;
    private final PlacerCore core;
    private final ClientHandler clientHandler;
    private final OperatorHandler operatorHandler;
    private final NodeHandler nodeHandler;
    private int tickCount;

    /**
     * Creates the server of an instance and starts its ticks.
     *
     * @param policyFactory creates the placement policy
     */
    PlacerServer(
            PlacerInstance instance,
            LoginAuthenticator authenticator,
            ConfigurationReloader reloader,
            Function<Placement.Settings, Placement> policyFactory,
            RecoveredState recovered) {
        this.instance = instance;
        this.authenticator = authenticator;
        connections = new Connections(authenticator);
        core = new PlacerCore(instance, policyFactory, this::tenantOf, recovered, this);
        clientHandler = new ClientHandler(instance, core, connections, new ReplySender(), reloader);
        operatorHandler = new OperatorHandler(instance, core, connections, reloader);
        nodeHandler = new NodeHandler(instance, core, connections);
        instance.loop()
                .scheduleWithFixedDelay(
                        this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    String name() {
        return instance.name();
    }

    /** See {@link PlacerCore#recordsToKeep}. */
    List<JournalRecord> recordsToKeep() {
        return core.recordsToKeep();
    }

    /** Returns the counters of this instance. Must be called on the event loop. */
    Placer.Totals totals() {
        return core.totals(clientHandler.requestCount());
    }

    /** Applies a new configuration. Must be called on the event loop. */
    void reload(Site site) {
        core.reload(site.admission());
    }

    private String tenantOf(String owner) {
        Account account = authenticator.account(owner);
        return account == null ? "" : account.tenant();
    }

    private void tick() {
        try {
            core.tick();
            clientHandler.sendChangedReasons();
            if (++tickCount % TICKS_PER_NODE_LIST == 0) {
                operatorHandler.sendChangedNodes();
            }
        } catch (RuntimeException e) {
            // an uncaught exception would cancel all further ticks
            LOG.atError()
                    .addKeyValue("instance", instance.name())
                    .setCause(e)
                    .log("exception in a tick; later ticks still run");
        }
    }

    // ---- authentication ----

    @Override
    public void connecting(ServerSession session, String login, String passcode) {
        SslHandler tls = session.channel().pipeline().get(SslHandler.class);
        String certifiedLogin = tls == null ? null : Tls.peerCommonName(tls.engine().getSession());
        if (certifiedLogin != null && passcode == null) {
            authenticateByCertificate(session, login, certifiedLogin);
        } else if (tls != null && login == null && passcode == null) {
            // A JDK client sends no certificate unless one of the authorities that the server
            // names has signed it.
            session.fail(
                    "no login, and no certificate that this site's authority has signed", null);
        } else {
            authenticateByPasscode(session, login, passcode);
        }
    }

    private void authenticateByCertificate(
            ServerSession session, String login, String certifiedLogin) {
        if (!LoginAuthenticator.matchesCertificate(login, certifiedLogin)) {
            session.fail("the certificate is not that of the login", null);
        } else if (authenticator.account(certifiedLogin) == null) {
            session.fail(LoginAuthenticator.NOT_ACCEPTED, null);
        } else {
            session.admit(certifiedLogin);
        }
    }

    private void authenticateByPasscode(ServerSession session, String login, String passcode) {
        authenticator.check(
                new LoginAuthenticator.Credentials(session.peerAddress(), login, passcode),
                (delayMicros, task) ->
                        instance.loop().schedule(task, delayMicros, TimeUnit.MICROSECONDS),
                rejection -> runOnLoop(() -> authenticated(session, login, rejection)));
    }

    private static void authenticated(
            ServerSession session, String login, Optional<String> rejection) {
        if (rejection.isPresent()) {
            session.fail(rejection.get(), null);
        } else {
            session.admit(login);
        }
    }

    private void runOnLoop(Runnable task) {
        if (instance.loop().inEventLoop()) {
            task.run();
        } else {
            instance.loop().execute(task);
        }
    }

    // ---- frames of sessions ----

    @Override
    public void sent(ServerSession session, String destination, Frame frame)
            throws ProtocolException {
        Endpoint endpoint =
                requirePermission(
                        session, DestinationPermissions.sendEndpoint(destination), destination);
        switch (endpoint) {
            case TASKS -> clientHandler.submit(session, frame);
            case STOP -> clientHandler.stop(session, frame);
            case WHY -> clientHandler.explain(session, frame);
            case WAITING -> clientHandler.countWaiting(session, frame);
            case LIMITS -> clientHandler.showLimits(session, frame);
            case RELOAD -> operatorHandler.reload();
            case DRAIN -> operatorHandler.drain(session, frame);
            case REGISTER -> nodeHandler.register(session, frame);
            case ANSWERS -> nodeHandler.report(session, frame);
            case PROBES -> nodeHandler.answerHealthCheck(session, frame);
            default -> throw new ProtocolException(destination + " is to subscribe to");
        }
    }

    @Override
    public void subscribed(ServerSession session, String id, String destination)
            throws ProtocolException {
        Endpoint endpoint =
                requirePermission(
                        session,
                        DestinationPermissions.subscribeEndpoint(destination),
                        destination);
        switch (endpoint) {
            case RESULTS -> clientHandler.subscribeToResults(session);
            case WAITING -> clientHandler.subscribeToReasons(session);
            case NODES -> operatorHandler.subscribeToNodes(session);
            default -> {
                // Offers and replies need no action: their messages are sent as they occur.
            }
        }
    }

    private Endpoint requirePermission(
            ServerSession session, Optional<Endpoint> endpoint, String destination)
            throws ProtocolException {
        if (endpoint.isEmpty()) {
            throw new ProtocolException("unknown destination " + destination);
        }
        Account account = connections.stateOf(session).account;
        if (account == null || !DestinationPermissions.allows(account.role(), endpoint.get())) {
            throw new ProtocolException("login " + session.login() + " may not use " + destination);
        }
        return endpoint.get();
    }

    @Override
    public void unsubscribed(ServerSession session, String destination) {
        if (session.subscribedTo(destination)) {
            return; // another subscription of the session remains
        }
        switch (destination) {
            case Destinations.RESULTS -> clientHandler.unsubscribeFromResults(session);
            case Destinations.WAITING -> clientHandler.unsubscribeFromReasons(session);
            case Destinations.NODES -> operatorHandler.unsubscribeFromNodes(session);
            default -> {
                // The server keeps no list of subscribers for other destinations.
            }
        }
    }

    @Override
    public void acknowledged(ServerSession session, String messageId, boolean accepted) {
        clientHandler.acknowledged(session, messageId, accepted);
    }

    @Override
    public void closed(ServerSession session, String reason) {
        long connection = connections.stateOf(session).connection;
        clientHandler.unsubscribeFromResults(session);
        clientHandler.unsubscribeFromReasons(session);
        operatorHandler.unsubscribeFromNodes(session);
        String machine = core.membership().machineOf(connection);
        connections.remove(connection);
        if (machine != null) {
            LOG.atWarn()
                    .addKeyValue("instance", instance.name())
                    .addKeyValue("node", machine)
                    .log("connection closed: {}", reason);
            core.connectionClosed(connection);
        }
    }

    // ---- what the core sends ----

    @Override
    public boolean offer(String machine, String attempt, RequestTracker.OfferDetails details) {
        return nodeHandler.offer(machine, attempt, details);
    }

    @Override
    public void cancelAttempt(String machine, String attempt) {
        nodeHandler.cancelAttempt(machine, attempt);
    }

    @Override
    public boolean checkHealth(String machine, long number) {
        return nodeHandler.checkHealth(machine, number);
    }

    @Override
    public void notifyDrain(String machine, boolean draining) {
        nodeHandler.notifyDrain(machine, draining);
    }

    @Override
    public void welcome(String machine, long retentionMicros) {
        nodeHandler.welcome(machine, retentionMicros);
    }

    @Override
    public void closeConnection(long connection, String reason) {
        nodeHandler.closeConnection(connection, reason);
    }

    @Override
    public void notifyResult(ResultNotification notification) {
        clientHandler.notifyResult(notification);
    }

    @Override
    public void reasonChanged(PendingReasons.ReasonChanged changed) {
        clientHandler.reasonChanged(changed);
    }
}
