package thornferry.testbed.scenario;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.Optional;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;

/**
 * How the peers of a scenario connect to its placers.
 *
 * @param heartbeat the intervals that they propose
 * @param tls the context of their connections; empty for plain text
 */
record LoginTargets(Heartbeat heartbeat, Optional<SslContext> tls) {
    static LoginTargets of(ScenarioFile scenario, Optional<ScenarioKeys> keys) throws IOException {
        Optional<SslContext> tls =
                keys.isPresent() ? Optional.of(keys.get().newClientContext()) : Optional.empty();
        return new LoginTargets(scenario.site().heartbeat(), tls);
    }

    /** The target of one login at one placer. */
    ClientConnection.Target target(SocketAddress placer, String login) {
        return new ClientConnection.Target(
                placer, login, ScenarioAccounts.PASSCODE, heartbeat, tlsOrNull());
    }

    /** The context as other packages take it: null for plain text. */
    SslContext tlsOrNull() {
        return tls.orElse(null);
    }
}
