package thornferry.app;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.ProtocolException;

/**
 * One exchange of messages with a placer over a new connection, which is closed afterwards.
 *
 * @param <T> the result of the exchange
 */
final class PlacerExchange<T> implements ClientConnection.Listener {
    /** Receives the messages of an exchange. */
    interface MessageHandler<T> {
        /**
         * Handles a message, on the event loop of the connection.
         *
         * @return the result of the exchange, or empty if more messages must be awaited
         * @throws ProtocolException if the message is invalid; the exchange fails
         */
        Optional<T> messageReceived(Frame message) throws ProtocolException;
    }

    private static final long SHUTDOWN_QUIET_MILLIS = 50;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private final BiConsumer<ClientConnection, CompletableFuture<T>> start;
    private final MessageHandler<T> handler;
    private final CompletableFuture<T> result = new CompletableFuture<>();

    /**
     * Creates an exchange; {@link #run} performs it.
     *
     * @param start sends the first frames after the connection is established; may keep the future
     *     and complete it with the result
     * @param handler receives the messages that follow
     */
    PlacerExchange(
            BiConsumer<ClientConnection, CompletableFuture<T>> start, MessageHandler<T> handler) {
        this.start = start;
        this.handler = handler;
    }

    /**
     * Connects and waits for the result.
     *
     * @throws IOException if the connection is closed before the result, or a message is invalid
     * @throws TimeoutException if there is no result within the timeout
     */
    T run(ClientConnection.Target target, Duration timeout) throws IOException, TimeoutException {
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            ClientConnection connection =
                    ClientConnection.open(loops.next(), target, FrameLimits.DEFAULTS, this);
            T value = result.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            connection.disconnect();
            return value;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the placer", e);
        } finally {
            loops.shutdownGracefully(
                            SHUTDOWN_QUIET_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .syncUninterruptibly();
        }
    }

    @Override
    public void connected(ClientConnection connection) {
        start.accept(connection, result);
    }

    @Override
    public void message(ClientConnection connection, Frame frame) {
        try {
            handler.messageReceived(frame).ifPresent(result::complete);
        } catch (ProtocolException e) {
            result.completeExceptionally(e);
        }
    }

    @Override
    public void closed(ClientConnection connection, String reason) {
        result.completeExceptionally(new IOException(reason));
    }
}
