package thornferry.testbed;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import thornferry.client.TaskClient;
import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.placer.Placer;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;
import thornferry.protocol.v1.Task;
import thornferry.security.Keys;
import thornferry.security.Passcodes;
import thornferry.security.Tls;
import thornferry.testbed.diagnosis.LoopbackPlacer;

/**
 * A placer over TLS whose site file can be changed and reloaded. Its owners are {@code depot1},
 * with a certificate and the passcode {@link #DEPOT1_PASSCODE}, and {@code depot2}, with a
 * certificate alone; the operator {@code ops} has a passcode.
 */
final class TlsSite implements AutoCloseable {
    static final String DEPOT1_PASSCODE = "one";
    static final Duration CERTIFICATE_VALIDITY = Duration.ofDays(1);
    static final String TASK_CLASS = "idempotent";

    private static final Heartbeat HEARTBEAT = new Heartbeat(500, 500);
    private static final String SITE =
            """
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
            name = "idempotent"
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
            """;

    private final Path file;
    private final Keys keys;
    private final LoopbackPlacer placer;

    private TlsSite(Path directory) throws IOException, ConfigException {
        file = directory.resolve("site.toml");
        keys = new Keys(directory.resolve("keys"));
        keys.init("site", CERTIFICATE_VALIDITY);
        keys.issue(
                "placer", Keys.Use.SERVER, List.of("127.0.0.1", "localhost"), CERTIFICATE_VALIDITY);
        for (String owner : List.of("depot1", "depot2")) {
            keys.issue(owner, Keys.Use.OWNER, List.of(), CERTIFICATE_VALIDITY);
        }
        writeFile(DEPOT1_PASSCODE, "");
        placer = LoopbackPlacer.start(SiteFile.read(file).site(), HEARTBEAT);
        placer.placer().reloadFrom(() -> SiteFile.read(file).site());
    }

    /** Issues the certificates in a directory, writes the site file and starts the placer. */
    static TlsSite start(Path directory) throws IOException, ConfigException {
        return new TlsSite(directory);
    }

    /** Replaces the site file, which takes effect at the next reload. */
    void writeFile(String depot1Passcode, String extraSettings) throws IOException {
        Files.writeString(file, SITE.formatted(Passcodes.hash(depot1Passcode)) + extraSettings);
    }

    Keys keys() {
        return keys;
    }

    Placer placer() {
        return placer.placer();
    }

    InetSocketAddress address() {
        return placer.address();
    }

    /** Identified by the certificate alone. */
    ClientConnection.Target byCertificate(String certificate) throws IOException {
        return target(null, null, tls(certificate));
    }

    /** Identified by the certificate, with a login that may differ from its name. */
    ClientConnection.Target byCertificate(String certificate, String login) throws IOException {
        return target(login, null, tls(certificate));
    }

    /** Identified by login and passcode, without a certificate. */
    ClientConnection.Target byPasscode(String login, String passcode) throws IOException {
        return target(login, passcode, tls(null));
    }

    ClientConnection.Target target(String login, String passcode, SslContext tls) {
        return new ClientConnection.Target(placer.address(), login, passcode, HEARTBEAT, tls);
    }

    private SslContext tls(String certificate) throws IOException {
        return Tls.clientContext(
                new Tls.Pem(
                        certificate == null ? null : keys.certificate(certificate),
                        certificate == null ? null : keys.key(certificate),
                        keys.authority()));
    }

    RecordingConnection open(ClientConnection.Target target) {
        RecordingConnection connection = RecordingConnection.open(placer.nextLoop(), target);
        placer.beforeClose(connection::close);
        return connection;
    }

    /** Opens a connection, which must be established, and subscribes to its replies. */
    RecordingConnection openWithReplies(ClientConnection.Target target) throws Exception {
        return open(target).subscribedToReplies();
    }

    TaskClient client(ClientConnection.Target target) {
        return placer.connect(target, event -> {});
    }

    static Task task(String id) {
        return Task.newBuilder()
                .setId(id)
                .setTaskClass(TASK_CLASS)
                .setService("s")
                .setCores(1)
                .setMemory(1)
                .build();
    }

    @Override
    public void close() {
        placer.close();
    }
}
