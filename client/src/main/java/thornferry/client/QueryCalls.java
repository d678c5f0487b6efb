package thornferry.client;

import com.google.protobuf.Message;
import io.netty.handler.codec.stomp.StompCommand;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import thornferry.client.TaskClient.RequestNotAcceptedException;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.ProtocolException;

/** The queries in flight; replies are matched to them by correlation id. */
final class QueryCalls {
    /** The {@code reply-to} destination of all queries. */
    static final String REPLIES = Destinations.REPLIES + "client";

    private static final String CORRELATION_ID = "correlation-id";
    private static final long REPLY_TIMEOUT_MILLIS = 10_000;

    private final Map<String, CompletableFuture<Frame>> replyByCorrelationId = new HashMap<>();
    private long lastQueryNumber;

    /**
     * Sends a query.
     *
     * @param result completed with the reply, or exceptionally if no reply arrives in time
     * @param replyPrototype default instance of the message type of the reply
     */
    <M extends Message> void send(
            ClientConnection connection,
            String destination,
            Message query,
            M replyPrototype,
            CompletableFuture<M> result) {
        lastQueryNumber++;
        String id = "c" + lastQueryNumber;
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        replyByCorrelationId.put(id, reply);
        reply.orTimeout(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((frame, failure) -> complete(result, frame, replyPrototype, failure));
        Frame queryFrame =
                Frame.of(
                        StompCommand.SEND,
                        "destination",
                        destination,
                        "reply-to",
                        REPLIES,
                        CORRELATION_ID,
                        id);
        connection.request(
                Bodies.write(queryFrame, query, false),
                error -> {
                    if (error != null && replyByCorrelationId.remove(id) != null) {
                        reply.completeExceptionally(new RequestNotAcceptedException(error));
                    }
                });
    }

    private static <M extends Message> void complete(
            CompletableFuture<M> result, Frame frame, M replyPrototype, Throwable failure) {
        if (failure instanceof RequestNotAcceptedException) {
            result.completeExceptionally(failure);
            return;
        }
        if (failure != null) {
            result.completeExceptionally(new RequestNotAcceptedException("no answer in time"));
            return;
        }
        try {
            result.complete(Bodies.read(frame, replyPrototype));
        } catch (ProtocolException invalid) {
            result.completeExceptionally(invalid);
        }
    }

    /** Completes the query that a reply belongs to, if it is still in flight. */
    void replyReceived(Frame frame) {
        CompletableFuture<Frame> reply =
                replyByCorrelationId.remove(frame.header(CORRELATION_ID, ""));
        if (reply != null) {
            reply.complete(frame);
        }
    }

    /** Fails all queries in flight: their replies would come over the closed connection. */
    void failAll(String message) {
        List.copyOf(replyByCorrelationId.values())
                .forEach(
                        reply ->
                                reply.completeExceptionally(
                                        new RequestNotAcceptedException(message)));
        replyByCorrelationId.clear();
    }
}
