package thornferry.app;

import com.google.protobuf.Message;
import io.netty.handler.codec.stomp.StompCommand;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;

/**
 * Sends the requests and queries of commands to a placer and subscribes to its messages, each time
 * over a new connection.
 */
final class PlacerClient {
    /** Provides the address and the credentials for a connection. */
    interface TargetSource {
        /**
         * Returns the target.
         *
         * @throws IOException if a certificate of the target cannot be read
         */
        ClientConnection.Target target() throws IOException;
    }

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final String REPLIES = Destinations.REPLIES + "cli";
    private static final String AUTOMATIC_ACK = "auto";

    private final TargetSource targets;
    private final String address;

    /**
     * Creates a client of one placer.
     *
     * @param address address of the placer, for error messages
     */
    PlacerClient(TargetSource targets, String address) {
        this.targets = targets;
        this.address = address;
    }

    /**
     * Sends a request, waits until the placer has processed it, and prints the outcome.
     *
     * @return the exit code
     */
    int request(String destination, Message request, String successText) throws IOException {
        PlacerExchange<Optional<String>> exchange =
                new PlacerExchange<>(
                        (connection, outcome) ->
                                connection.request(
                                        destination,
                                        request,
                                        error -> outcome.complete(Optional.ofNullable(error))),
                        ignored -> Optional.empty());
        Optional<String> error = run(exchange, RESPONSE_TIMEOUT);
        if (error.isPresent()) {
            System.err.println("thornferry: " + error.get());
            return ExitCode.FAILED;
        }
        System.out.println(successText);
        return ExitCode.OK;
    }

    /** Sends a query and waits for its reply. */
    <M extends Message> M query(String destination, Message query, M replyType) throws IOException {
        Frame header = Frame.of(StompCommand.SEND, "destination", destination, "reply-to", REPLIES);
        PlacerExchange<M> exchange =
                new PlacerExchange<>(
                        (connection, reply) -> {
                            connection.subscribe("replies", REPLIES, AUTOMATIC_ACK);
                            connection.write(Bodies.write(header, query, false));
                        },
                        frame -> Optional.of(Bodies.read(frame, replyType)));
        return run(exchange, RESPONSE_TIMEOUT);
    }

    /** Subscribes to a destination and waits for its first message. */
    <M extends Message> M firstMessage(String subscription, String destination, M messageType)
            throws IOException {
        return subscribe(
                subscription,
                destination,
                RESPONSE_TIMEOUT,
                frame -> Optional.of(Bodies.read(frame, messageType)));
    }

    /** Subscribes to a destination and waits until the handler returns a result. */
    <T> T subscribe(
            String subscription,
            String destination,
            Duration timeout,
            PlacerExchange.MessageHandler<T> handler)
            throws IOException {
        PlacerExchange<T> exchange =
                new PlacerExchange<>(
                        (connection, result) ->
                                connection.subscribe(subscription, destination, AUTOMATIC_ACK),
                        handler);
        return run(exchange, timeout);
    }

    private <T> T run(PlacerExchange<T> exchange, Duration timeout) throws IOException {
        try {
            return exchange.run(targets.target(), timeout);
        } catch (TimeoutException e) {
            throw new IOException(
                    "no response from " + address + " within " + timeout.toMillis() + " ms", e);
        }
    }
}
