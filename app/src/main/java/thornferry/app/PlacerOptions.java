package thornferry.app;

import com.google.protobuf.Message;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.stomp.StompCommand;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.ProtocolException;

/** Where the placer is and as whom to speak to it: the options that all client commands share. */
final class PlacerOptions {
    static final long WAIT_MS = 10_000;

    @Option(
            names = "--host",
            defaultValue = "127.0.0.1",
            description = "Of the placer; ${DEFAULT-VALUE}.")
    String host;

    @Option(
            names = "--port",
            defaultValue = "61613",
            description = "Of the placer; ${DEFAULT-VALUE}.")
    int port;

    @Option(
            names = "--login",
            defaultValue = "${env:THORNFERRY_LOGIN:-}",
            description = "THORNFERRY_LOGIN; else that of --cert, else demo.")
    String login;

    @Option(
            names = "--passcode",
            defaultValue = "${env:THORNFERRY_PASSCODE:-demo}",
            description = "THORNFERRY_PASSCODE, else demo.")
    String passcode;

    @Mixin TlsOptions tls;

    ClientConnection.Target target() throws IOException {
        // with a certificate and no word of a login, the certificate tells who it is
        String who = login != null && !login.isEmpty() ? login : tls.certified() ? null : "demo";
        return new ClientConnection.Target(
                address(),
                who,
                tls.certified() ? null : passcode,
                new Heartbeat(2_000, 2_000),
                tls.context());
    }

    InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Sends one message and waits until the placer has taken it; 0 or the exit code, with the error
     * printed.
     */
    int send(String destination, Message message, String done) throws IOException {
        CompletableFuture<String> answer = new CompletableFuture<>();
        String error =
                exchange(
                        WAIT_MS,
                        c ->
                                c.request(
                                        destination,
                                        message,
                                        e -> answer.complete(e == null ? "" : e)),
                        (frame, to) -> {},
                        answer);
        if (!error.isEmpty()) {
            System.err.println("thornferry: " + error);
            return Main.FAILED;
        }
        System.out.println(done);
        return 0;
    }

    /** Asks one question and waits for its answer. */
    <M extends Message> M ask(String destination, Message question, Message.Builder into)
            throws IOException {
        String to = Destinations.REPLIES + "cli";
        return exchange(
                WAIT_MS,
                c -> {
                    c.subscribe("replies", to, "auto");
                    c.write(
                            Bodies.write(
                                    Frame.of(
                                            StompCommand.SEND,
                                            "destination",
                                            destination,
                                            "reply-to",
                                            to),
                                    question,
                                    false));
                },
                (frame, answer) -> {
                    try {
                        answer.complete(Bodies.read(frame, into));
                    } catch (ProtocolException e) {
                        answer.completeExceptionally(e);
                    }
                },
                new CompletableFuture<M>());
    }

    /**
     * One connection for one exchange: {@code connected} starts it, {@code message} hears what
     * comes.
     */
    <T> T exchange(
            long millis,
            Consumer<ClientConnection> connected,
            java.util.function.BiConsumer<Frame, CompletableFuture<T>> message,
            CompletableFuture<T> answer)
            throws IOException {
        MultiThreadIoEventLoopGroup loops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            ClientConnection c =
                    ClientConnection.open(
                            loops.next(),
                            target(),
                            FrameLimits.DEFAULTS,
                            new ClientConnection.Listener() {
                                @Override
                                public void connected(ClientConnection connection) {
                                    connected.accept(connection);
                                }

                                @Override
                                public void message(ClientConnection connection, Frame frame) {
                                    message.accept(frame, answer);
                                }

                                @Override
                                public void closed(ClientConnection connection, String why) {
                                    answer.completeExceptionally(new IOException(why));
                                }
                            });
            T got = answer.get(millis, TimeUnit.MILLISECONDS);
            c.disconnect();
            return got;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException(
                    "no answer from " + host + ":" + port + " within " + millis + " ms", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } finally {
            loops.shutdownGracefully(50, 1_000, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }
}
