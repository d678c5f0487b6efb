package thornferry.testbed.audit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The open connections, by their numbers. */
final class TracedConnections {
    private final Map<Long, TracedConnection> open = new HashMap<>();

    void open(long number, String placer) {
        open.put(number, new TracedConnection(number, placer));
    }

    Optional<TracedConnection> close(long number) {
        return Optional.ofNullable(open.remove(number));
    }

    Optional<TracedConnection> find(long number) {
        return Optional.ofNullable(open.get(number));
    }

    boolean isOpen(long number) {
        return open.containsKey(number);
    }

    Collection<TracedConnection> all() {
        return open.values();
    }
}
