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
 * A node that responds to offers as a scenario tells it, so that the true reason of a pending task
 * is known. Its load report is its size minus the resources of the tasks that it runs.
 */
final class ScriptedNode implements ClientConnection.Listener {
    private static final long INCARNATION = 1;
    private static final long REGISTRATION_TIMEOUT_SECONDS = 10;
    private static final Duration LONG_UPTIME = Duration.ofHours(1);

    private final EventLoop loop;
    private final ClientConnection.Target target;
    private final NodeShape shape;
    private final CompletableFuture<Void> registered = new CompletableFuture<>();
    private final Map<String, Offer> runningByTask = new ConcurrentHashMap<>();
    private volatile ClientConnection connection;
    private volatile OfferResponse response = OfferResponse.RUN;
    private volatile Duration uptime = LONG_UPTIME;

    ScriptedNode(EventLoop loop, ClientConnection.Target target, NodeShape shape) {
        this.loop = loop;
        this.target = target;
        this.shape = shape;
    }

    /** Sets how long the node claims to have been up when it registers. */
    ScriptedNode withUptime(Duration newUptime) {
        uptime = newUptime;
        return this;
    }

    /** Sets the response to this and every further offer. */
    ScriptedNode respondWith(OfferResponse newResponse) {
        response = newResponse;
        return this;
    }

    /** Connects and registers; returns once the placer has accepted the registration. */
    ScriptedNode join() throws ScenarioFailedException, InterruptedException {
        connection = ClientConnection.open(loop, target, FrameLimits.DEFAULTS, this);
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

    /** Ends a task that the node runs, which frees its resources. */
    void endTask(String task) {
        Offer offer = runningByTask.remove(task);
        if (offer == null) {
            throw new IllegalArgumentException(shape.name() + " does not run task " + task);
        }
        sendAnswer(offer, Answer.Kind.ENDED, Answer.Reason.NONE);
    }

    /** Breaks the connection without notice to the placer. */
    void breakConnection() {
        connection.cut();
    }

    /** Breaks the connection if the node has one. */
    void close() {
        if (connection != null) {
            connection.cut();
        }
    }

    /** Accepts and runs an offered task. */
    void run(Offer offer) {
        runningByTask.put(offer.getTask().getId(), offer);
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
                this::registrationDone);
    }

    private void registrationDone(String error) {
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
    public void closed(ClientConnection closedConnection, String why) {
        registrationDone("connection closed: " + why);
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
        double coresFree = shape.cores();
        double memoryFree = shape.memory();
        for (Offer offer : runningByTask.values()) {
            Task task = offer.getTask();
            coresFree -= task.getCores();
            memoryFree -= task.getMemory();
        }
        return Load.newBuilder().setCoresFree(coresFree).setMemoryFree(memoryFree).build();
    }
}
