package thornferry.placer;

import java.util.LinkedHashSet;
import java.util.Set;

/** What the server tracks for one connection. */
final class ConnectionState {
    final long connection;

    /** The account of the login, as configured when the connection was opened; may be null. */
    final Account account;

    /** Whether messages to this peer are encoded as protobuf; JSON otherwise. */
    boolean binary;

    /** Tasks whose pending reason changed and has not been sent to this client yet. */
    final Set<String> changedTasks = new LinkedHashSet<>();

    ConnectionState(long connection, Account account) {
        this.connection = connection;
        this.account = account;
    }
}
