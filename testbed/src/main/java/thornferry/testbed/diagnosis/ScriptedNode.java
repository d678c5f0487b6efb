package thornferry.testbed.diagnosis;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import thornferry.agent.NodeShape;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Drain;
import thornferry.protocol.v1.Load;
import thornferry.protocol.v1.Offer;
import thornferry.protocol.v1.Order;
import thornferry.protocol.v1.Probe;
import thornferry.protocol.v1.ProbeReply;
import thornferry.protocol.v1.Register;
import thornferry.protocol.v1.Task;

/**
 * A node whose responses to offers are set by a scenario, so that the reason of a pending task is
 * known. The load report of the node is its size minus the resources of its running tasks.
 */
final class ScriptedNode implements ClientConnection.Listener {
    private static final long INCARNATION = 1;
    private static final long REGISTRATION_TIMEOUT_SECONDS = 10;
    private static final Duration WARM_UPTIME = Duration.ofHours(1);

    private final EventLoop eventLoop;
    private final ClientConnection.Target target;
    private final NodeShape shape;
    private final CompletableFuture<Void> registered = new CompletableFuture<>();
    private final Map<String, Offer> offerByRunningTask = new ConcurrentHashMap<>();
    private volatile ClientConnection connection;
    private volatile OfferResponse response = OfferResponse.RUN;
    private volatile Duration uptime = WARM_UPTIME;

    ScriptedNode(EventLoop eventLoop, ClientConnection.Target target, NodeShape shape) {
        this.eventLoop = eventLoop;
        this.target = target;
        this.shape = shape;
    }

    /** Sets the uptime that the node reports in its registration. */
    ScriptedNode withUptime(Duration newUptime) {
        uptime = newUptime;
        return this;
    }

    /** Sets the response to this and every further offer. */
    ScriptedNode respondWith(OfferResponse newResponse) {
        response = newResponse;
        return this;
    }

    /** Connects and registers the node, and waits until the placer accepts the registration. */
    ScriptedNode join() throws ScenarioFailedException, InterruptedException {
        connection = ClientConnection.open(eventLoop, target, FrameLimits.DEFAULTS, this);
        try {
            registered.get(REGISTRATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new ScenarioFailedException("node " + shape.name() + " could not register", e);
        }
        return this;
    }

    /** Starts or ends the draining of the node. */
    void setDraining(boolean draining) {
        connection.send(
                Destinations.DRAIN,
                Drain.newBuilder().setNode(shape.name()).setOn(draining).build());
    }

    /** Ends a running task of the node, which frees the task's resources. */
    void endTask(String task) {
        Offer offer = offerByRunningTask.remove(task);
        if (offer == null) {
            throw new IllegalArgumentException(shape.name() + " is not running task " + task);
        }
        sendAnswer(offer, Answer.Kind.ENDED, Answer.Reason.NONE);
    }

    /** Breaks the connection without notifying the placer. */
    void breakConnection() {
        connection.cut();
    }

    /** Breaks the connection if the node has connected. */
    void close() {
        if (connection != null) {
            connection.cut();
        }
    }

    /** Accepts and runs an offered task. */
    void run(Offer offer) {
        offerByRunningTask.put(offer.getTask().getId(), offer);
        sendAnswer(offer, Answer.Kind.ACCEPTED, Answer.Reason.NONE);
        sendAnswer(offer, Answer.Kind.RUNS, Answer.Reason.NONE);
    }

    /** Rejects an offered task. */
    void reject(Offer offer, Answer.Reason reason) {
        sendAnswer(offer, Answer.Kind.REFUSED, reason);
    }

    @Override
    public void connected(ClientConnection newConnection) {
        newConnection.subscribe("offers", Destinations.offers(shape.name()), "auto");
        newConnection.request(
                Destinations.REGISTER,
                Register.newBuilder()
                        .setNode(shape.name())
                        .setIncarnation(INCARNATION)
                        .setKind(shape.kind())
                        .setZone(shape.zone())
                        .setCores(shape.cores())
                        .setMemory(shape.memory())
                        .setUptimeMs(uptime.toMillis())
                        .setLoad(load())
                        .build(),
                this::completeRegistration);
    }

    private void completeRegistration(String error) {
        if (error == null) {
            registered.complete(null);
        } else {
            registered.completeExceptionally(new IllegalStateException(error));
        }
    }

    @Override
    public void message(ClientConnection receiver, Frame frame) {
        Order order;
        try {
            order = Bodies.read(frame, Order.getDefaultInstance());
        } catch (ProtocolException e) {
            throw new IllegalStateException("the placer sent a malformed order", e);
        }
        if (order.hasProbe()) {
            answerProbe(order.getProbe());
        } else if (order.hasOffer()) {
            response.respond(this, order.getOffer());
        }
    }

    @Override
    public void closed(ClientConnection closedConnection, String reason) {
        completeRegistration("connection closed: " + reason);
    }

    private void answerProbe(Probe probe) {
        connection.send(
                Destinations.PROBES,
                ProbeReply.newBuilder()
                        .setNode(shape.name())
                        .setNumber(probe.getNumber())
                        .setLoad(load())
                        .build());
    }

    private void sendAnswer(Offer offer, Answer.Kind kind, Answer.Reason reason) {
        connection.send(
                Destinations.ANSWERS,
                Answer.newBuilder()
                        .setNode(shape.name())
                        .setAttempt(offer.getAttempt())
                        .setKind(kind)
                        .setReason(reason)
                        .setLoad(load())
                        .build());
    }

    private Load load() {
        double freeCores = shape.cores();
        double freeMemory = shape.memory();
        for (Offer offer : offerByRunningTask.values()) {
            Task task = offer.getTask();
            freeCores -= task.getCores();
            freeMemory -= task.getMemory();
        }
        return Load.newBuilder().setCoresFree(freeCores).setMemoryFree(freeMemory).build();
    }
}
