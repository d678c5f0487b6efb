package thornferry.client;

import com.google.protobuf.Message;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.SocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Limits;
import thornferry.protocol.v1.LimitsQuery;
import thornferry.protocol.v1.StopTask;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.WaitingQuery;
import thornferry.protocol.v1.WaitingTable;
import thornferry.protocol.v1.Why;
import thornferry.protocol.v1.WhyQuery;

/**
 * Submits tasks to one placer and receives their results. When the connection breaks, the client
 * reconnects and submits the tasks without a result again under the same ids, by which the placer
 * recognizes them as the same tasks.
 *
 * <p>A client never fails over to another placer, which does not know the tasks submitted before
 * and could start them twice. Methods may be called from any thread.
 */
public final class TaskClient implements AutoCloseable {
    /** Thrown if the placer did not accept a request or its reply did not arrive in time. */
    public static final class RequestNotAcceptedException extends Exception {
        private static final long serialVersionUID = 1;

        RequestNotAcceptedException(String message) {
            super(message);
        }
    }

    private static final Heartbeat DEFAULT_HEARTBEAT = new Heartbeat(2_000, 2_000);
    private static final long SHUTDOWN_QUIET_MILLIS = 100;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final EventLoop loop;
    private final MultiThreadIoEventLoopGroup
            ownLoops; // null if the caller provides the event loop
    private final OutstandingRequests requests;
    private final QueryCalls queryCalls = new QueryCalls();
    private final PlacerConnection placerConnection;

    private TaskClient(
            ClientConnection.Target target,
            EventLoop loop,
            MultiThreadIoEventLoopGroup ownLoops,
            Consumer<TaskNews> events) {
        this.loop = loop;
        this.ownLoops = ownLoops;
        requests = new OutstandingRequests(loop);
        placerConnection = new PlacerConnection(target, loop, requests, queryCalls, events);
        loop.execute(placerConnection::open);
    }

    /**
     * Connects in plain text, on an event loop that the client owns.
     *
     * @param events receives the events of placed tasks, on the event loop
     */
    public static TaskClient connect(
            SocketAddress placer, String login, String passcode, Consumer<TaskNews> events) {
        return connect(
                new ClientConnection.Target(placer, login, passcode, DEFAULT_HEARTBEAT), events);
    }

    /** Connects to a target that may use TLS, on an event loop that the client owns. */
    public static TaskClient connect(ClientConnection.Target target, Consumer<TaskNews> events) {
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        return new TaskClient(target, loops.next(), loops, events);
    }

    /** Connects on a given event loop, which the client does not shut down. */
    public static TaskClient connect(
            ClientConnection.Target target, EventLoop loop, Consumer<TaskNews> events) {
        return new TaskClient(target, loop, null, events);
    }

    /**
     * Submits a task. The future completes with its result (placed, rejected or failed), or
     * exceptionally with {@link RequestNotAcceptedException} if the placer does not accept the task
     * or sends no result in time.
     */
    public CompletableFuture<TaskNews> submit(Task task) {
        OutstandingRequest request = new OutstandingRequest(task, OutstandingRequests.nowMillis());
        loop.execute(
                () -> {
                    if (requests.add(request)) {
                        placerConnection
                                .openConnection()
                                .ifPresent(connection -> requests.send(connection, request));
                        requests.startTimeout(request);
                    }
                });
        return request.result();
    }

    /**
     * Stops one of the client's tasks; the future completes when the placer has accepted the stop.
     */
    public CompletableFuture<Void> stop(String task) {
        CompletableFuture<Void> accepted = new CompletableFuture<>();
        StopTask request = StopTask.newBuilder().setId(task).build();
        whenConnected(
                accepted,
                connection ->
                        connection.request(
                                Destinations.STOP,
                                request,
                                error -> {
                                    if (error == null) {
                                        accepted.complete(null);
                                    } else {
                                        accepted.completeExceptionally(
                                                new RequestNotAcceptedException(error));
                                    }
                                }));
        return accepted;
    }

    /**
     * Queries why one of the client's tasks is pending, or its outcome, with the history of its
     * pending reasons. The state is {@code unknown} if the placer knows no such task of this
     * client; the kinds of reasons are listed in the specification of the protocol.
     */
    public CompletableFuture<Why> why(String task) {
        return query(
                Destinations.WHY,
                WhyQuery.newBuilder().setTask(task).build(),
                Why.getDefaultInstance());
    }

    /**
     * Queries how many of the client's tasks are pending for each reason; for an operator, those of
     * all clients by tenant.
     */
    public CompletableFuture<WaitingTable> waiting() {
        return query(
                Destinations.WAITING,
                WaitingQuery.getDefaultInstance(),
                WaitingTable.getDefaultInstance());
    }

    /** Queries the client's quotas and their usage; for an operator, also those of all tenants. */
    public CompletableFuture<Limits> limits() {
        return query(
                Destinations.LIMITS, LimitsQuery.getDefaultInstance(), Limits.getDefaultInstance());
    }

    /**
     * Watches the client's pending tasks: the listener receives the current reason of each task and
     * then every change, on the event loop and also after a reconnect. If reasons change faster
     * than the client reads them, intermediate ones are skipped.
     */
    public void watchReasons(Consumer<Why> listener) {
        loop.execute(() -> placerConnection.watchReasons(listener));
    }

    private <M extends Message> CompletableFuture<M> query(
            String destination, Message query, M replyPrototype) {
        CompletableFuture<M> result = new CompletableFuture<>();
        whenConnected(
                result,
                connection ->
                        queryCalls.send(connection, destination, query, replyPrototype, result));
        return result;
    }

    /** Runs an action on the event loop, or fails the future if there is no open connection. */
    private void whenConnected(CompletableFuture<?> future, Consumer<ClientConnection> action) {
        loop.execute(
                () -> {
                    Optional<ClientConnection> connection = placerConnection.openConnection();
                    if (connection.isPresent()) {
                        action.accept(connection.get());
                    } else {
                        future.completeExceptionally(
                                new RequestNotAcceptedException("not connected"));
                    }
                });
    }

    /**
     * Breaks the connection without notice, as a crashed client would, and reconnects after about
     * {@code reconnectDelayMillis}. For fault injection.
     */
    public void vanish(long reconnectDelayMillis) {
        loop.execute(() -> placerConnection.abort(reconnectDelayMillis));
    }

    /** Disconnects, and shuts down the event loop if the client owns it. */
    @Override
    public void close() {
        loop.execute(placerConnection::close);
        if (ownLoops != null) {
            ownLoops.shutdownGracefully(
                            SHUTDOWN_QUIET_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .syncUninterruptibly();
        }
    }
}
