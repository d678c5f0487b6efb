package thornferry.client;

import com.google.protobuf.Message;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.stomp.StompCommand;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.ProtocolException;
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
 * Places tasks with one placer and learns what becomes of them. A connection that breaks is dialled
 * again, and tasks without a result are asked for again by the same name, which the placer takes
 * for one and the same task.
 *
 * <p>It stays with its placer: another one knows nothing of a task already asked for, and could
 * start it twice. Methods may be called from any thread.
 */
public final class TaskClient implements AutoCloseable {
    /** The placer did not take the task, or its result did not come while the owner waited. */
    public static final class RequestNotAcceptedException extends Exception {
        private static final long serialVersionUID = 1;

        RequestNotAcceptedException(String message) {
            super(message);
        }
    }

    private static final class OutstandingRequest {
        final Task task;
        final CompletableFuture<TaskNews> result = new CompletableFuture<>();
        final long until;

        OutstandingRequest(Task task, long until) {
            this.task = task;
            this.until = until;
        }
    }

    private static final String REPLIES = Destinations.REPLIES + "client";

    /** A question that is not answered within this is given up. */
    private static final long ANSWER_MS = 10_000;

    private static final long REDIAL_LEAST_MS = 50;
    private static final long REDIAL_MOST_MS = 2_000;

    /**
     * A task that states no patience is asked for again for so long; the placer has its own limit.
     */
    private static final long USUAL_PATIENCE_MS = 60_000;

    /** The result may come so long after patience is over: the way there and back. */
    private static final long GRACE_MS = 2_000;

    private final ClientConnection.Target target;
    private final EventLoop loop;
    private final MultiThreadIoEventLoopGroup ownLoops;
    private final Consumer<TaskNews> events;
    private final Map<String, OutstandingRequest> waiting = new LinkedHashMap<>();
    private final Map<String, CompletableFuture<Frame>> questions =
            new HashMap<>(); // by correlation id
    private Consumer<Why> reasons;
    private long questionNumber;
    private ClientConnection connection;
    private long redial = REDIAL_LEAST_MS;
    private boolean closed;

    private TaskClient(
            ClientConnection.Target target,
            EventLoop loop,
            MultiThreadIoEventLoopGroup ownLoops,
            Consumer<TaskNews> events) {
        this.target = target;
        this.loop = loop;
        this.ownLoops = ownLoops;
        this.events = events;
        loop.execute(this::open);
    }

    /**
     * Connects with a thread of its own; {@code events} hears what becomes of placed tasks, on that
     * thread.
     */
    public static TaskClient connect(
            SocketAddress placer, String login, String passcode, Consumer<TaskNews> events) {
        return connect(
                new ClientConnection.Target(placer, login, passcode, new Heartbeat(2_000, 2_000)),
                events);
    }

    /** The same to a target that may be over TLS. */
    public static TaskClient connect(ClientConnection.Target target, Consumer<TaskNews> events) {
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        return new TaskClient(target, loops.next(), loops, events);
    }

    /** The same on a given event loop, which stays the caller's. */
    public static TaskClient connect(
            ClientConnection.Target target, EventLoop loop, Consumer<TaskNews> events) {
        return new TaskClient(target, loop, null, events);
    }

    private void open() {
        if (!closed) {
            connection = ClientConnection.open(loop, target, FrameLimits.USUAL, new Listener());
        }
    }

    /**
     * Asks for a task. The future ends with its result (placed, refused or failed), or
     * exceptionally with {@link RequestNotAcceptedException} where the placer does not take it or
     * says nothing in time.
     */
    public CompletableFuture<TaskNews> submit(Task task) {
        long patience = task.hasPatienceMs() ? task.getPatienceMs() : USUAL_PATIENCE_MS;
        long until = now() + patience + GRACE_MS;
        OutstandingRequest asked = new OutstandingRequest(task, until);
        loop.execute(
                () -> {
                    OutstandingRequest before = waiting.putIfAbsent(task.getId(), asked);
                    if (before != null) {
                        before.result.whenComplete((news, e) -> pass(asked, news, e));
                        return;
                    }
                    if (connection != null && connection.open()) {
                        send(asked);
                    }
                    loop.schedule(
                            () -> give(asked, "no result from the placer in time"),
                            patience + GRACE_MS,
                            TimeUnit.MILLISECONDS);
                });
        return asked.result;
    }

    private static void pass(OutstandingRequest asked, TaskNews news, Throwable e) {
        if (e == null) {
            asked.result.complete(news);
        } else {
            asked.result.completeExceptionally(e);
        }
    }

    private void give(OutstandingRequest asked, String why) {
        if (waiting.remove(asked.task.getId(), asked)) {
            asked.result.completeExceptionally(new RequestNotAcceptedException(why));
        }
    }

    private void send(OutstandingRequest asked) {
        Task task = asked.task;
        if (task.hasPatienceMs()) {
            // asked again after a break: what is left of the owner's patience, not the whole of it
            // once more
            long left = Math.max(0, asked.until - GRACE_MS - now());
            task = task.toBuilder().setPatienceMs(Math.min(left, task.getPatienceMs())).build();
        }
        connection.request(
                Destinations.TASKS,
                task,
                error -> {
                    if (error != null && error.startsWith("task not taken")) {
                        give(asked, error);
                    }
                });
    }

    /** Stops a task of one's own; the future ends when the placer has taken it. */
    public CompletableFuture<Void> stop(String task) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    if (connection == null || !connection.open()) {
                        done.completeExceptionally(
                                new RequestNotAcceptedException("not connected"));
                        return;
                    }
                    connection.request(
                            Destinations.STOP,
                            StopTask.newBuilder().setId(task).build(),
                            error -> {
                                if (error == null) {
                                    done.complete(null);
                                } else {
                                    done.completeExceptionally(
                                            new RequestNotAcceptedException(error));
                                }
                            });
                });
        return done;
    }

    /**
     * Why a task of one's own waits, or what became of it, with the history of its reasons. The
     * state is {@code unknown} where the placer knows no such task of this owner's; the kinds of
     * reasons are those of {@link OutcomeReason.Kind}.
     */
    public CompletableFuture<Why> why(String task) {
        return question(
                Destinations.WHY, WhyQuery.newBuilder().setTask(task).build(), Why.newBuilder());
    }

    /**
     * How many of one's own tasks wait for each reason; for an operator, of everybody's by tenant.
     */
    public CompletableFuture<WaitingTable> waiting() {
        return question(
                Destinations.WAITING, WaitingQuery.getDefaultInstance(), WaitingTable.newBuilder());
    }

    /**
     * One's own limits and what is used of them; for an operator, the tenants' and the site's too.
     */
    public CompletableFuture<Limits> limits() {
        return question(Destinations.LIMITS, LimitsQuery.getDefaultInstance(), Limits.newBuilder());
    }

    /**
     * Hears of one's own waiting tasks as they stand now and whenever a reason changes, on the
     * client's thread, also after a connection that broke. Where reasons change faster than this
     * side reads, what lies between is left out.
     */
    public void watchReasons(Consumer<Why> listener) {
        loop.execute(
                () -> {
                    reasons = listener;
                    if (connection != null && connection.open()) {
                        connection.subscribe("waiting", Destinations.WAITING, "auto");
                    }
                });
    }

    private <M extends Message> CompletableFuture<M> question(
            String destination, Message body, Message.Builder into) {
        CompletableFuture<M> answer = new CompletableFuture<>();
        loop.execute(
                () -> {
                    if (connection == null || !connection.open()) {
                        answer.completeExceptionally(
                                new RequestNotAcceptedException("not connected"));
                        return;
                    }
                    String id = "c" + ++questionNumber;
                    CompletableFuture<Frame> got = new CompletableFuture<>();
                    questions.put(id, got);
                    got.orTimeout(ANSWER_MS, TimeUnit.MILLISECONDS)
                            .whenComplete(
                                    (frame, e) -> {
                                        try {
                                            if (e != null) {
                                                answer.completeExceptionally(
                                                        e instanceof RequestNotAcceptedException
                                                                ? e
                                                                : new RequestNotAcceptedException(
                                                                        "no answer in time"));
                                            } else {
                                                answer.complete(Bodies.<M>read(frame, into));
                                            }
                                        } catch (ProtocolException bad) {
                                            answer.completeExceptionally(bad);
                                        }
                                    });
                    connection.request(
                            Bodies.write(
                                    Frame.of(
                                            StompCommand.SEND,
                                            "destination",
                                            destination,
                                            "reply-to",
                                            REPLIES,
                                            "correlation-id",
                                            id),
                                    body,
                                    false),
                            error -> {
                                if (error != null && questions.remove(id) != null) {
                                    got.completeExceptionally(
                                            new RequestNotAcceptedException(error));
                                }
                            });
                });
        return answer;
    }

    /**
     * Breaks the connection without a word, as a client that vanishes would; it dials again after
     * {@code awayMs}.
     */
    public void vanish(long awayMs) {
        loop.execute(
                () -> {
                    redial = Math.max(1, awayMs);
                    if (connection != null) {
                        connection.cut();
                    }
                });
    }

    @Override
    public void close() {
        loop.execute(
                () -> {
                    closed = true;
                    if (connection != null) {
                        connection.disconnect();
                    }
                });
        if (ownLoops != null) {
            ownLoops.shutdownGracefully(100, 2_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private final class Listener implements ClientConnection.Listener {
        @Override
        public void connected(ClientConnection c) {
            redial = REDIAL_LEAST_MS;
            c.subscribe("results", Destinations.RESULTS, "auto");
            c.subscribe("replies", REPLIES, "auto");
            if (reasons != null) {
                c.subscribe("waiting", Destinations.WAITING, "auto");
            }
            waiting.values().forEach(TaskClient.this::send);
        }

        @Override
        public void message(ClientConnection c, Frame frame) {
            TaskNews news;
            try {
                String destination = frame.header("destination", "");
                if (destination.equals(REPLIES)) {
                    CompletableFuture<Frame> asked =
                            questions.remove(frame.header("correlation-id", ""));
                    if (asked != null) {
                        asked.complete(frame);
                    }
                    return;
                } else if (destination.equals(Destinations.WAITING)) {
                    if (reasons != null) {
                        reasons.accept(Bodies.read(frame, Why.newBuilder()));
                    }
                    return;
                }
                news = Bodies.read(frame, TaskNews.newBuilder());
            } catch (ProtocolException e) {
                return; // of a later version of the protocol: not for us
            }
            if (!news.getResult().isEmpty()) {
                OutstandingRequest asked = waiting.remove(news.getTask());
                if (asked != null) {
                    asked.result.complete(news);
                }
            } else {
                events.accept(news);
            }
        }

        @Override
        public void closed(ClientConnection c, String why) {
            connection = null;
            List.copyOf(questions.values())
                    .forEach(q -> q.completeExceptionally(new RequestNotAcceptedException(why)));
            questions.clear();
            boolean refused = why.startsWith("login or passcode");
            if (refused) {
                waiting.values().stream()
                        .toList()
                        .forEach(a -> give(a, why)); // dialling again would not help
                return;
            }
            long wait = redial / 2 + ThreadLocalRandom.current().nextLong(redial / 2 + 1);
            redial = Math.min(REDIAL_MOST_MS, redial * 2);
            loop.schedule(TaskClient.this::open, wait, TimeUnit.MILLISECONDS);
        }
    }
}
