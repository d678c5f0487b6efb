package thornferry.placer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import thornferry.protocol.ServerSession;

/** The open connections of one instance, numbered from 1. */
final class Connections {
    private final LoginAuthenticator authenticator;
    private final Map<Long, ServerSession> nodeSessions = new HashMap<>();
    private long lastConnection;

    Connections(LoginAuthenticator authenticator) {
        this.authenticator = authenticator;
    }

    /** The state of a session, which is attached to it at the first call. */
    ConnectionState stateOf(ServerSession session) {
        if (session.attachment() == null) {
            session.attach(
                    new ConnectionState(++lastConnection, authenticator.account(session.login())));
        }
        return (ConnectionState) session.attachment();
    }

    /** Makes the session of a node known by its connection number. */
    void addNodeSession(ServerSession session) {
        nodeSessions.put(stateOf(session).connection, session);
    }

    /** The session of a node, if its connection is open. */
    Optional<ServerSession> nodeSession(long connection) {
        return Optional.ofNullable(nodeSessions.get(connection));
    }

    /** Forgets a closed connection. */
    void remove(long connection) {
        nodeSessions.remove(connection);
    }
}
