package thornferry.placer;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import thornferry.protocol.ServerSession;

/** The sessions that are subscribed to a destination, by login. */
final class Subscribers {
    private final Map<String, Set<ServerSession>> sessionsByLogin = new LinkedHashMap<>();

    void add(ServerSession session) {
        sessionsByLogin
                .computeIfAbsent(session.login(), login -> new LinkedHashSet<>())
                .add(session);
    }

    void remove(ServerSession session) {
        Set<ServerSession> sessions = sessionsByLogin.get(session.login());
        if (sessions != null && sessions.remove(session) && sessions.isEmpty()) {
            sessionsByLogin.remove(session.login());
        }
    }

    /**
     * Returns a copy of the sessions of a login, since sending may close one and so remove it here.
     */
    List<ServerSession> sessionsOf(String login) {
        return List.copyOf(sessionsByLogin.getOrDefault(login, Set.of()));
    }

    void forEach(Consumer<ServerSession> action) {
        sessionsByLogin.values().forEach(sessions -> sessions.forEach(action));
    }
}
