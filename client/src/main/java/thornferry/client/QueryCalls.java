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

/** Queries in flight, matched with their replies by correlation id. */
final class QueryCalls {
    /** Destination of the replies. */
    static final String REPLIES = Destinations.REPLIES + "client";

    private static final String CORRELATION_ID = "correlation-id";
    private static final long REPLY_TIMEOUT_MILLIS = 10_000;

    private final Map<String, CompletableFuture<Frame>> replyByCorrelationId = new HashMap<>();
    private long lastQueryNumber;

    /**
     * Sends a query.
     *
     * @param answer completed with the reply, or exceptionally if there is none in time
     * @param replyType builder for the message in the reply
     */
    <M extends Message> void send(
            ClientConnection connection,
            String destination,
            Message query,
            M replyType,
            CompletableFuture<M> answer) {
        lastQueryNumber++;
        String id = "c" + lastQueryNumber;
        CompletableFuture<Frame> reply = new CompletableFuture<>();
        replyByCorrelationId.put(id, reply);
        reply.orTimeout(REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .whenComplete((frame, failure) -> complete(answer, frame, replyType, failure));
        Frame header =
                Frame.of(
                        StompCommand.SEND,
                        "destination",
                        destination,
                        "reply-to",
                        REPLIES,
                        CORRELATION_ID,
                        id);
        connection.request(
                Bodies.write(header, query, false),
                error -> {
                    if (error != null && replyByCorrelationId.remove(id) != null) {
                        reply.completeExceptionally(new RequestNotAcceptedException(error));
                    }
                });
    }

    private static <M extends Message> void complete(
            CompletableFuture<M> answer, Frame frame, M replyType, Throwable failure) {
        if (failure instanceof RequestNotAcceptedException) {
            answer.completeExceptionally(failure);
            return;
        }
        if (failure != null) {
            answer.completeExceptionally(new RequestNotAcceptedException("no answer in time"));
            return;
        }
        try {
            answer.complete(Bodies.read(frame, replyType));
        } catch (ProtocolException invalid) {
            answer.completeExceptionally(invalid);
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
