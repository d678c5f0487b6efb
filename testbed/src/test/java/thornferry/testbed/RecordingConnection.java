package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.Message;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.stomp.StompCommand;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;

/** A client connection that records the frames received, and why it was rejected or closed. */
final class RecordingConnection implements ClientConnection.Listener, AutoCloseable {
    /** {@link #outcome()} of a connection that was established. */
    static final String CONNECTED = "connected";

    /** Start of the {@link #outcome()} of a connection that was not; the reason follows. */
    static final String REJECTED = "rejected";

    private static final String REPLY_DESTINATION = "/replies/x";
    private static final long TIMEOUT_SECONDS = 10;

    private final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    private final CompletableFuture<String> outcome = new CompletableFuture<>();
    private final CompletableFuture<String> closeReason = new CompletableFuture<>();
    private final ClientConnection connection;

    private RecordingConnection(EventLoop loop, ClientConnection.Target target) {
        connection = ClientConnection.open(loop, target, FrameLimits.DEFAULTS, this);
    }

    static RecordingConnection open(EventLoop loop, ClientConnection.Target target) {
        return new RecordingConnection(loop, target);
    }

    ClientConnection connection() {
        return connection;
    }

    /** The frames received and not yet taken as a reply. */
    List<Frame> frames() {
        return List.copyOf(frames);
    }

    /** Waits until the connection is established or rejected. */
    String outcome() throws Exception {
        return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits until the connection is closed, and returns why. */
    String closeReason() throws Exception {
        return closeReason.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits until the connection is established, and subscribes to its replies. */
    RecordingConnection subscribedToReplies() throws Exception {
        assertThat(outcome()).isEqualTo(CONNECTED);
        connection.subscribe("x", REPLY_DESTINATION, "auto");
        return this;
    }

    /** Sends a query and returns the next frame, which must come in time. */
    Frame query(String destination, Message query) throws Exception {
        frames.clear();
        Frame request =
                Frame.of(
                        StompCommand.SEND,
                        "destination",
                        destination,
                        "reply-to",
                        REPLY_DESTINATION);
        connection.write(Bodies.write(request, query, false));
        Frame reply = frames.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(reply).isNotNull();
        return reply;
    }

    @Override
    public void connected(ClientConnection established) {
        outcome.complete(CONNECTED);
    }

    @Override
    public void message(ClientConnection receiver, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void closed(ClientConnection closed, String why) {
        outcome.complete(REJECTED + ": " + why);
        closeReason.complete(why);
    }

    @Override
    public void close() {
        connection.cut();
    }
}
