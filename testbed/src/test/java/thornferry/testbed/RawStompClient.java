package thornferry.testbed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A client that sends any bytes a test wants, also malformed ones. In the text sent, {@code ^}
 * stands for the NUL byte that ends a frame.
 */
final class RawStompClient implements AutoCloseable {
    /** Comes after the last frame, once the server has closed the connection. */
    static final String CLOSED = "END";

    private static final long FRAME_TIMEOUT_SECONDS = 10;

    private final Socket socket;
    private final BlockingQueue<String> frames = new LinkedBlockingQueue<>();

    private RawStompClient(InetSocketAddress address) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        Thread reader = new Thread(this::readFrames, "raw-stomp-client");
        reader.setDaemon(true);
        reader.start();
    }

    /** Opens a connection and sends nothing. */
    static RawStompClient open(InetSocketAddress address) throws IOException {
        return new RawStompClient(address);
    }

    /** Opens a connection and logs in. */
    static RawStompClient connect(InetSocketAddress address, String login, String passcode)
            throws IOException {
        RawStompClient client = open(address);
        client.send(
                "CONNECT\naccept-version:1.2\nhost:h\nlogin:%s\npasscode:%s\n\n^"
                        .formatted(login, passcode));
        client.await("CONNECTED");
        return client;
    }

    void send(String text) throws IOException {
        // a second call could fail: the server may have answered with an ERROR by then, and the
        // reader closed the socket
        OutputStream out = socket.getOutputStream();
        out.write(text.replace('^', '\0').getBytes(StandardCharsets.UTF_8));
    }

    void subscribe(String destination, String... headers) throws IOException {
        send(frame("SUBSCRIBE", "id:1\ndestination:" + destination, "", headers));
    }

    void sendMessage(String destination, String body, String... headers) throws IOException {
        send(frame("SEND", "destination:" + destination, body, headers));
    }

    private static String frame(String command, String header, String body, String... headers) {
        StringBuilder frame = new StringBuilder(command + "\n" + header + "\n");
        for (String each : headers) {
            frame.append(each).append('\n');
        }
        return frame.append('\n').append(body).append('^').toString();
    }

    /** Returns the next frame that contains a text; fails as {@link #framesUntil} does. */
    String await(String part) {
        List<String> received = framesUntil(part);
        return received.get(received.size() - 1);
    }

    /**
     * Returns the frames up to the next that contains a text; fails if none comes in time or the
     * connection is closed before.
     */
    List<String> framesUntil(String part) {
        List<String> received = new ArrayList<>();
        while (true) {
            String frame = next();
            received.add(frame);
            if (frame.contains(part)) {
                return received;
            }
            if (frame.equals(CLOSED)) {
                throw new AssertionError("closed without a frame that contains " + part);
            }
        }
    }

    /** Discards frames until the server has closed the connection; fails if it does not in time. */
    void awaitClosed() {
        String frame = next();
        while (!frame.equals(CLOSED)) {
            frame = next();
        }
    }

    /** Returns the next frame or {@link #CLOSED}; fails if none comes in time. */
    String next() {
        String frame = null;
        try {
            frame = frames.poll(FRAME_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (frame == null) {
            throw new AssertionError("no frame in time");
        }
        return frame;
    }

    private void readFrames() {
        StringBuilder frame = new StringBuilder();
        try (InputStream in = socket.getInputStream()) {
            for (int c = in.read(); c >= 0; c = in.read()) {
                if (c == 0) {
                    frames.add(frame.toString().strip());
                    frame.setLength(0);
                } else {
                    frame.append((char) c);
                }
            }
        } catch (IOException e) {
            // reported as the end of the connection
        }
        frames.add(CLOSED);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
