package thornferry.app;

import java.io.IOException;
import java.net.InetSocketAddress;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;

/** The options of all client commands: the address of the placer and the credentials. */
final class PlacerOptions {
    private static final String DEFAULT_LOGIN = "demo";
    private static final Heartbeat HEARTBEAT = new Heartbeat(2_000, 2_000);

    @Option(
            names = "--host",
            defaultValue = "127.0.0.1",
            description = "Host name or IP address of the placer; default: ${DEFAULT-VALUE}.")
    private String host;

    @Option(
            names = "--port",
            defaultValue = "61613",
            description = "TCP port of the placer; default: ${DEFAULT-VALUE}.")
    private int port;

    @Option(
            names = "--login",
            defaultValue = "${env:THORNFERRY_LOGIN:-}",
            description =
                    "Login of your account; default: environment variable THORNFERRY_LOGIN, or else"
                            + " the login in the certificate of --cert, or else demo.")
    private String login;

    @Option(
            names = "--passcode",
            defaultValue = "${env:THORNFERRY_PASSCODE:-demo}",
            description =
                    "Passcode of your account; default: environment variable THORNFERRY_PASSCODE,"
                            + " or else demo.")
    private String passcode;

    @Mixin private TlsOptions tls;

    /** Returns the address and the credentials for a connection. */
    ClientConnection.Target target() throws IOException {
        return new ClientConnection.Target(
                new InetSocketAddress(host, port),
                loginOrNull(),
                tls.hasCertificate() ? null : passcode,
                HEARTBEAT,
                tls.context());
    }

    /** Returns the login; null if the certificate alone identifies the client. */
    private String loginOrNull() {
        if (login != null && !login.isEmpty()) {
            return login;
        }
        return tls.hasCertificate() ? null : DEFAULT_LOGIN;
    }

    /** Returns a client for requests, queries and subscriptions. */
    PlacerClient client() {
        return new PlacerClient(this::target, host + ":" + port);
    }
}
