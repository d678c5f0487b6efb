package thornferry.testbed.load;

import java.net.SocketAddress;
import java.util.List;
import thornferry.agent.PlacerLogin;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Heartbeat;

/**
 * The placers under load, and the accounts to use there.
 *
 * @param placers addresses of the placers
 * @param owners logins of the clients; client i connects to placer i modulo their number
 * @param agentLogin login of the emulated nodes
 * @param passcode of all accounts
 * @param heartbeat heartbeat intervals that clients and nodes propose
 */
public record LoadTarget(
        List<SocketAddress> placers,
        List<String> owners,
        String agentLogin,
        String passcode,
        Heartbeat heartbeat) {
    /** Copies the lists. */
    public LoadTarget {
        placers = List.copyOf(placers);
        owners = List.copyOf(owners);
    }

    PlacerLogin nodeLogin() {
        return new PlacerLogin(placers, agentLogin, passcode, heartbeat);
    }

    ClientConnection.Target clientTarget(int client) {
        return new ClientConnection.Target(
                placers.get(client % placers.size()), owners.get(client), passcode, heartbeat);
    }
}
