package thornferry.placer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import thornferry.protocol.ServerSession;

/** The open connections of one instance, numbered from 1. */
final class Connections {
    private final LoginAuthenticator authenticator;
    private final Map<Long, ServerSession> nodeSessionsByConnection = new HashMap<>();
    private long lastConnection;

    Connections(LoginAuthenticator authenticator) {
        this.authenticator = authenticator;
    }

    /** Returns the state of a session; the first call creates the state and attaches it. */
    ConnectionState stateOf(ServerSession session) {
        if (session.attachment() == null) {
            session.attach(
                    new ConnectionState(++lastConnection, authenticator.account(session.login())));
        }
        return (ConnectionState) session.attachment();
    }

    /** Registers the session of a node under its connection number. */
    void addNodeSession(ServerSession session) {
        nodeSessionsByConnection.put(stateOf(session).connection, session);
    }

    /** Returns the session of a node, if its connection is open. */
    Optional<ServerSession> nodeSession(long connection) {
        return Optional.ofNullable(nodeSessionsByConnection.get(connection));
    }

    /** Removes a closed connection. */
    void remove(long connection) {
        nodeSessionsByConnection.remove(connection);
    }
}
