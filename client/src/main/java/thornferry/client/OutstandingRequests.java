package thornferry.client;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.TaskNews;

/** The requests without a result, by task id and in the order of submission. */
final class OutstandingRequests {
    /** The first words of the placer's error for a task that it does not accept. */
    private static final String NOT_ACCEPTED = "task not taken";

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EventLoop loop;
    private final Map<String, OutstandingRequest> requestByTask = new LinkedHashMap<>();

    OutstandingRequests(EventLoop loop) {
        this.loop = loop;
    }

    static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Adds a request.
     *
     * @return false if there is an earlier request for the same task; this request then completes
     *     with the outcome of the earlier one
     */
    boolean add(OutstandingRequest request) {
        OutstandingRequest earlier = requestByTask.putIfAbsent(request.taskId(), request);
        if (earlier != null) {
            request.completeWith(earlier);
            return false;
        }
        return true;
    }

    void startTimeout(OutstandingRequest request) {
        loop.schedule(
                () -> fail(request, "no result from the placer in time"),
                request.timeoutMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Sends a request; it fails if the placer replies that it does not accept the task. */
    void send(ClientConnection connection, OutstandingRequest request) {
        connection.request(
                Destinations.TASKS,
                request.taskToSend(nowMillis()),
                error -> {
                    if (error != null && error.startsWith(NOT_ACCEPTED)) {
                        fail(request, error);
                    }
                });
    }

    /** Sends all requests again after a reconnect; the placer recognizes repeats by task id. */
    void sendAll(ClientConnection connection) {
        requestByTask.values().forEach(request -> send(connection, request));
    }

    void complete(TaskNews result) {
        OutstandingRequest request = requestByTask.remove(result.getTask());
        if (request != null) {
            request.result().complete(result);
        }
    }

    void failAll(String message) {
        List.copyOf(requestByTask.values()).forEach(request -> fail(request, message));
    }

    private void fail(OutstandingRequest request, String message) {
        if (requestByTask.remove(request.taskId(), request)) {
            request.fail(message);
        }
    }
}
