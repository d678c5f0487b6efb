package thornferry.app;

import java.io.IOException;
import java.net.InetSocketAddress;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;

/** Options of all client commands: the address of the placer, and the login to use there. */
final class PlacerOptions {
    private static final String DEFAULT_LOGIN = "demo";
    private static final Heartbeat HEARTBEAT = new Heartbeat(2_000, 2_000);

    @Option(
            names = "--host",
            defaultValue = "127.0.0.1",
            description = "Of the placer; ${DEFAULT-VALUE}.")
    private String host;

    @Option(
            names = "--port",
            defaultValue = "61613",
            description = "Of the placer; ${DEFAULT-VALUE}.")
    private int port;

    @Option(
            names = "--login",
            defaultValue = "${env:THORNFERRY_LOGIN:-}",
            description = "THORNFERRY_LOGIN; else that of --cert, else demo.")
    private String login;

    @Option(
            names = "--passcode",
            defaultValue = "${env:THORNFERRY_PASSCODE:-demo}",
            description = "THORNFERRY_PASSCODE, else demo.")
    private String passcode;

    @Mixin private TlsOptions tls;

    /** Where and as whom to connect. */
    ClientConnection.Target target() throws IOException {
        return new ClientConnection.Target(
                new InetSocketAddress(host, port),
                loginOrNull(),
                tls.hasCertificate() ? null : passcode,
                HEARTBEAT,
                tls.context());
    }

    /** The login; null if the certificate alone identifies the client. */
    private String loginOrNull() {
        if (login != null && !login.isEmpty()) {
            return login;
        }
        return tls.hasCertificate() ? null : DEFAULT_LOGIN;
    }

    /** A client for single requests and queries. */
    PlacerClient client() {
        return new PlacerClient(this::target, host + ":" + port);
    }
}
