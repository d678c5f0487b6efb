package thornferry.placer;

import java.util.LinkedHashSet;
import java.util.Set;

/** The state that the server keeps for one connection. */
final class ConnectionState {
    /** The number of the connection, unique in the instance. */
    final long connection;

    /** The account of the login, as configured when the connection was opened; may be null. */
    final Account account;

    /** True if messages to this peer are encoded as protobuf, false if as JSON. */
    boolean usesProtobuf;

    /** The tasks whose pending reason changed and has not been sent to this client yet. */
    final Set<String> changedTasks = new LinkedHashSet<>();

    ConnectionState(long connection, Account account) {
        this.connection = connection;
        this.account = account;
    }
}
