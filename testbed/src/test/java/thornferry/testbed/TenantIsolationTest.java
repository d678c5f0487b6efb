package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.stomp.StompCommand;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.client.TaskClient;
import thornferry.config.SiteFile;
import thornferry.placer.Placer;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.FrameLimits;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.StopTask;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.WaitingTable;
import thornferry.protocol.v1.Why;
import thornferry.protocol.v1.WhyQuery;
import thornferry.security.Keys;
import thornferry.security.Passcodes;
import thornferry.security.Tls;

/**
 * Owners kept apart: over TLS, by certificate and by hashed passcode; and what strangers and
 * mistakes get.
 */
class TenantIsolationTest {
    private static final Duration DAY = Duration.ofDays(1);

    @TempDir Path directory;

    private final MultiThreadIoEventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<AutoCloseable> opened = new ArrayList<>();
    private Keys keys;
    private Path file;
    private Placer placer;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws Exception {
        keys = new Keys(directory.resolve("keys"));
        keys.init("site", DAY);
        keys.issue("placer", Keys.Use.SERVER, List.of("127.0.0.1", "localhost"), DAY);
        for (String owner : List.of("depot1", "depot2")) {
            keys.issue(owner, Keys.Use.OWNER, List.of(), DAY);
        }
        file = directory.resolve("site.toml");
        Files.writeString(file, site(Passcodes.hash("one"), ""));
        placer = Placer.start(SiteFile.read(file).site(), "127.0.0.1", 0, 1);
        placer.reloadFrom(() -> SiteFile.read(file).site());
        address = placer.addresses().get(0);
    }

    private String site(String hash, String more) {
        return """
        [tls]
        certificate = "keys/placer.pem"
        key = "keys/placer.key"
        authorities = "keys/ca.pem"
        [connections]
        heart-beat-ms = 500
        handshake-ms = 3000
        [intake]
        settle-ms = 0
        [[kind]]
        name = "std"
        cores = 16.0
        memory = 32.0
        [[class]]
        name = "safe"
        effect = "safe"
        deadline-ms = 20000
        [[account]]
        login = "depot1"
        passcode-hash = "%s"
        role = "owner"
        [[account]]
        login = "depot2"
        role = "owner"
        [[account]]
        login = "ops"
        passcode = "o"
        role = "operator"
        """
                        .formatted(hash)
                + more;
    }

    @AfterEach
    void end() throws Exception {
        for (AutoCloseable each : opened) {
            each.close();
        }
        placer.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private SslContext tls(String certificate) throws IOException {
        return Tls.client(
                new Tls.Pem(
                        certificate == null ? null : keys.certificate(certificate),
                        certificate == null ? null : keys.key(certificate),
                        keys.authority()));
    }

    private ClientConnection.Target target(String login, String passcode, SslContext tls) {
        return new ClientConnection.Target(address, login, passcode, new Heartbeat(500, 500), tls);
    }

    /** One connection with what came in: frames, and in the end how it ended. */
    private final class Peer implements ClientConnection.Listener, AutoCloseable {
        final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final CompletableFuture<String> connected = new CompletableFuture<>();
        final CompletableFuture<String> over = new CompletableFuture<>();
        final ClientConnection connection;

        Peer(ClientConnection.Target target) {
            connection = ClientConnection.open(loops.next(), target, FrameLimits.DEFAULTS, this);
            opened.add(this);
        }

        @Override
        public void connected(ClientConnection c) {
            connected.complete("connected");
        }

        @Override
        public void message(ClientConnection c, Frame frame) {
            frames.add(frame);
        }

        @Override
        public void closed(ClientConnection c, String why) {
            connected.complete("turned away: " + why);
            over.complete(why);
        }

        String outcome() throws Exception {
            return connected.get(10, TimeUnit.SECONDS);
        }

        String ended() throws Exception {
            return over.get(10, TimeUnit.SECONDS);
        }

        Frame ask(String destination, com.google.protobuf.Message question) throws Exception {
            frames.clear();
            connection.write(
                    Bodies.write(
                            Frame.of(
                                    StompCommand.SEND,
                                    "destination",
                                    destination,
                                    "reply-to",
                                    "/replies/x"),
                            question,
                            false));
            Frame got = frames.poll(10, TimeUnit.SECONDS);
            assertThat(got).isNotNull();
            return got;
        }

        Peer ready() throws Exception {
            assertThat(outcome()).isEqualTo("connected");
            connection.subscribe("x", "/replies/x", "auto");
            return this;
        }

        @Override
        public void close() {
            connection.cut();
        }
    }

    private TaskClient client(ClientConnection.Target target) {
        TaskClient c = TaskClient.connect(target, loops.next(), news -> {});
        opened.add(c);
        return c;
    }

    private static Task task(String id) {
        return Task.newBuilder()
                .setId(id)
                .setTaskClass("safe")
                .setService("s")
                .setCores(1)
                .setMemory(1)
                .build();
    }

    @Test
    void aCertificateOrAGoodPasscodeLetsInAndNothingElseDoes() throws Exception {
        assertThat(new Peer(target(null, null, tls("depot1"))).outcome()).isEqualTo("connected");
        assertThat(new Peer(target("depot1", null, tls("depot1"))).outcome())
                .isEqualTo("connected");
        assertThat(new Peer(target("depot1", "one", tls(null))).outcome()).isEqualTo("connected");
        assertThat(new Peer(target("depot2", null, tls("depot1"))).outcome())
                .contains("not that of the login");
        assertThat(new Peer(target("depot1", "two", tls(null))).outcome())
                .contains("login or passcode not accepted");
        assertThat(new Peer(target("depot2", "", tls(null))).outcome())
                .contains("login or passcode not accepted");
        assertThat(new Peer(target("nobody", "one", tls(null))).outcome())
                .contains("login or passcode not accepted");
        keys.issue("stranger", Keys.Use.OWNER, List.of(), DAY);
        assertThat(new Peer(target(null, null, tls("stranger"))).outcome())
                .contains("login or passcode not accepted");
    }

    @Test
    void oneOwnerLearnsNothingOfAnothersTask() throws Exception {
        TaskClient owner = client(target(null, null, tls("depot1")));
        owner.submit(task("t1"));
        for (int i = 0; i < 100 && !state(owner, "t1").equals("waiting"); i++) {
            Thread.sleep(20);
        }
        assertThat(state(owner, "t1")).isEqualTo("waiting");
        for (ClientConnection.Target other :
                List.of(target(null, null, tls("depot2")), target("ops", "o", tls(null)))) {
            Peer peer = new Peer(other).ready();
            String known =
                    peer.ask(Destinations.WHY, WhyQuery.newBuilder().setTask("t1").build()).text();
            String unknown =
                    peer.ask(Destinations.WHY, WhyQuery.newBuilder().setTask("t9").build()).text();
            assertThat(known.replace("t1", "T")).isEqualTo(unknown.replace("t9", "T"));
            peer.connection.subscribe("w", Destinations.WAITING, "auto");
            peer.connection.subscribe("r", Destinations.RESULTS, "auto");
            String[] errors = new String[2];
            for (int i = 0; i < 2; i++) {
                Peer stopper = new Peer(other).ready();
                stopper.connection.request(
                        Destinations.STOP,
                        StopTask.newBuilder().setId(i == 0 ? "t1" : "t9").build(),
                        error -> {});
                errors[i] = stopper.ended();
            }
            assertThat(errors[0].replace("t1", "T")).isEqualTo(errors[1].replace("t9", "T"));
            Thread.sleep(200);
            assertThat(peer.frames).as("nothing of another's").isEmpty();
        }
        Peer second = new Peer(target(null, null, tls("depot2"))).ready();
        WaitingTable table =
                Bodies.read(
                        second.ask(
                                Destinations.WAITING,
                                thornferry.protocol.v1.WaitingQuery.getDefaultInstance()),
                        WaitingTable.newBuilder());
        assertThat(table.getWaiting()).isZero();
        assertThat(state(owner, "t1")).as("nobody stopped it").isEqualTo("waiting");
        // the same name is another task for another owner
        TaskClient other = client(target(null, null, tls("depot2")));
        assertThat(
                        other.submit(task("t1").toBuilder().setCores(2).setPatienceMs(300).build())
                                .get(10, TimeUnit.SECONDS)
                                .getResult())
                .isEqualTo("refused");
        assertThat(state(owner, "t1")).isEqualTo("waiting");
    }

    private static String state(TaskClient client, String task) throws Exception {
        return client.why(task)
                .handle((why, e) -> e == null ? why.getState() : "")
                .get(10, TimeUnit.SECONDS);
    }

    @Test
    void patternsRepliesOfOthersAndReplayedReceiptsLeadNowhere() throws Exception {
        Peer owner = new Peer(target(null, null, tls("depot1"))).ready();
        for (String destination :
                List.of(
                        "/tasks/*",
                        "/tasks/>",
                        "/tasks/results/depot1",
                        "/tasks/waiting/../results",
                        "/nodes",
                        "/nodes/n1/offers",
                        "/tasks/waiting/depot1")) {
            Peer peer = new Peer(target(null, null, tls("depot2"))).ready();
            peer.connection.subscribe("p", destination, "auto");
            assertThat(peer.ended()).containsAnyOf("unknown destination", "may not use");
        }
        Peer replies = new Peer(target(null, null, tls("depot2"))).ready();
        owner.ask(Destinations.WHY, WhyQuery.newBuilder().setTask("t").build());
        assertThat(replies.frames).as("the same name of replies, another connection").isEmpty();
        Peer noReply = new Peer(target(null, null, tls("depot2"))).ready();
        noReply.connection.request(
                Frame.of(
                                StompCommand.SEND,
                                "destination",
                                Destinations.WHY,
                                "reply-to",
                                "/replies/other")
                        .withBody(Bodies.JSON, "{\"task\":\"t\"}".getBytes(StandardCharsets.UTF_8)),
                error -> {});
        assertThat(noReply.ended()).contains("reply-to must name");
        Peer ack = new Peer(target(null, null, tls("depot2"))).ready();
        ack.connection.write(Frame.of(StompCommand.ACK, "id", "0-1"));
        assertThat(ack.ended()).contains("no message waits");
        Peer reload = new Peer(target(null, null, tls("depot2"))).ready();
        reload.connection.write(Frame.of(StompCommand.SEND, "destination", Destinations.RELOAD));
        assertThat(reload.ended()).contains("may not use /placer/reload");
    }

    @Test
    void expiredEarlyAndForeignCertificatesAreTurnedAway() throws Exception {
        keys.issue(
                "depot2",
                Keys.Use.OWNER,
                List.of(),
                Duration.ofSeconds(-400)); // over since 100 s at the least
        assertThat(keys.list().get(2).left()).isNegative();
        assertThat(new Peer(target(null, null, tls("depot2"))).outcome())
                .startsWith("turned away")
                .doesNotContain("passcode");
        keys.issue(
                "depot2",
                Keys.Use.OWNER,
                List.of(),
                java.time.Instant.now().plusSeconds(3_600),
                DAY);
        assertThat(new Peer(target(null, null, tls("depot2"))).outcome())
                .startsWith("turned away")
                .doesNotContain("passcode");
        Keys foreign = new Keys(directory.resolve("foreign"));
        foreign.init("elsewhere", DAY);
        foreign.issue("depot1", Keys.Use.OWNER, List.of(), DAY);
        SslContext theirs =
                Tls.client(
                        new Tls.Pem(
                                foreign.certificate("depot1"),
                                foreign.key("depot1"),
                                keys.authority()));
        assertThat(new Peer(target(null, null, theirs)).outcome())
                .startsWith("turned away")
                .doesNotContain("passcode");
        SslContext distrusting = Tls.client(new Tls.Pem(null, null, foreign.authority()));
        assertThat(new Peer(target("depot1", "one", distrusting)).outcome())
                .as("the placer is not theirs")
                .contains("certif");
    }

    @Test
    void plainTextOnATlsPortIsToldSo() throws Exception {
        try (Socket socket = new Socket("127.0.0.1", address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(
                            "CONNECT\naccept-version:1.2\nhost:h\nlogin:depot1\npasscode:one\n\n\0"
                                    .getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            assertThat(new String(in.readAllBytes(), StandardCharsets.UTF_8))
                    .contains("ERROR", "speaks TLS 1.3 only");
        }
    }

    @Test
    void certificatesAndAccountsReloadWithoutDroppingAConnection() throws Exception {
        Peer stays = new Peer(target("depot1", "one", tls(null))).ready();
        keys.issue("placer", Keys.Use.SERVER, List.of("127.0.0.1"), DAY);
        Files.writeString(file, site(Passcodes.hash("new"), ""));
        assertThat(placer.reload()).isNull();
        assertThat(stays.ask(Destinations.WHY, WhyQuery.newBuilder().setTask("t").build()).text())
                .contains("unknown");
        assertThat(new Peer(target("depot1", "new", tls(null))).outcome()).isEqualTo("connected");
        assertThat(new Peer(target("depot1", "one", tls(null))).outcome()).contains("not accepted");
    }

    @Test
    void aReloadWithAMistakeKeepsTheFormerAndSaysSo() throws Exception {
        for (String mistake :
                List.of(
                        "[[limit]]\nowner = \"depot1\"\ntasks = -3\n",
                        "[[limit]]\nowner = \"depot9\"\ntasks = 3\n",
                        "[[tenant]]\nname = \"x\"\nshare = -0.5\n",
                        "[line]\nwindow = \"wide\"\n")) {
            Files.writeString(file, site(Passcodes.hash("new"), mistake));
            assertThat(placer.reload()).contains("site.toml:");
        }
        assertThat(new Peer(target("depot1", "one", tls(null))).outcome()).isEqualTo("connected");
        Peer ops = new Peer(target("ops", "o", tls(null))).ready();
        assertThat(
                        ops.ask(
                                        Destinations.LIMITS,
                                        thornferry.protocol.v1.LimitsQuery.getDefaultInstance())
                                .text())
                .contains("not reloaded, the former stays");
        ops.connection.request(
                Destinations.RELOAD,
                thornferry.protocol.v1.Reload.getDefaultInstance(),
                error -> {});
        assertThat(ops.ended()).contains("not reloaded", "line.window");
        Files.delete(keys.key("placer"));
        Files.writeString(file, site(Passcodes.hash("new"), ""));
        assertThat(placer.reload()).contains("placer.key");
    }

    @Test
    void limitsChangeAtAReloadAndWhatWaitsIsKept() throws Exception {
        Files.writeString(
                file, site(Passcodes.hash("one"), "[[limit]]\nowner = \"depot1\"\ntasks = 1\n"));
        assertThat(placer.reload()).isNull();
        TaskClient owner = client(target(null, null, tls("depot1")));
        List<CompletableFuture<TaskNews>> results = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            results.add(owner.submit(task("t" + i)));
        }
        Why held = null;
        for (int i = 0;
                i < 200 && (held == null || !held.getReason().getKind().name().equals("OWN_LIMIT"));
                i++) {
            Thread.sleep(20);
            held = owner.why("t4").handle((why, e) -> why).get(10, TimeUnit.SECONDS);
        }
        assertThat(held.getReason().getSentence()).contains("limit of tasks");
        Files.writeString(file, site(Passcodes.hash("one"), ""));
        assertThat(placer.reload()).isNull();
        for (int i = 0;
                i < 200
                        && owner.why("t4")
                                .get(10, TimeUnit.SECONDS)
                                .getReason()
                                .getKind()
                                .name()
                                .equals("OWN_LIMIT");
                i++) {
            Thread.sleep(20);
        }
        assertThat(owner.why("t4").get(10, TimeUnit.SECONDS).getReason().getKind().name())
                .isEqualTo("NO_NODES");
        assertThat(results).noneMatch(CompletableFuture::isDone);
    }

    @Test
    void aGuesserIsSlowedAndTheRightfulOwnerIsNot() throws Exception {
        for (int i = 0; i < 5; i++) {
            assertThat(new Peer(target("depot1", "guess" + i, tls(null))).outcome())
                    .contains("not accepted");
        }
        List<Peer> guesses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            guesses.add(new Peer(target("depot1", "more" + i, tls(null))));
        }
        assertThat(guesses.get(5).outcome()).contains("too many tries");
        assertThat(new Peer(target(null, null, tls("depot1"))).outcome())
                .as("by certificate")
                .isEqualTo("connected");
        assertThat(new Peer(target("ops", "o", tls(null))).outcome())
                .as("another login, same address")
                .isEqualTo("connected");
    }

    @Test
    void aBadFileIsNamed() {
        assertThatThrownBy(
                        () ->
                                Tls.server(
                                        new Tls.Pem(
                                                directory.resolve("none.pem"),
                                                keys.key("placer"),
                                                null),
                                        Tls.Clients.NONE))
                .hasMessageContaining("none.pem");
    }
}
