package thornferry.agent;

import java.net.SocketAddress;
import java.util.List;
import thornferry.protocol.Heartbeat;

/**
 * The placers that a node connects to, and the credentials it presents to each of them.
 *
 * @param placers addresses of the placers; the node keeps one connection to each
 * @param login user name; null if the client certificate identifies the node
 * @param passcode password; null if the client certificate identifies the node
 * @param heartbeat heartbeat intervals that the node proposes
 */
public record PlacerLogin(
        List<SocketAddress> placers, String login, String passcode, Heartbeat heartbeat) {
    /** Copies the list of addresses. */
    public PlacerLogin {
        placers = List.copyOf(placers);
    }
}
