package thornferry.decisions.requests;

import java.util.HashMap;
import java.util.Map;

/** An index of all known requests by task key and by request id. */
final class RequestIndex {
    private final Map<String, RequestEntry> byTaskKey = new HashMap<>();
    private final Map<String, RequestEntry> byRequestId = new HashMap<>();
    private long lastRequestNumber;

    /** Returns the entry of the task, or null if it is not known. */
    RequestEntry find(String taskKey) {
        return byTaskKey.get(taskKey);
    }

    /** Returns the entry of the request, or null if it is not known. */
    RequestEntry findByRequestId(String requestId) {
        return byRequestId.get(requestId);
    }

    /** Adds an entry and returns the one that it replaces, or null. */
    RequestEntry put(RequestEntry entry) {
        return byTaskKey.put(entry.key(), entry);
    }

    void remove(RequestEntry entry) {
        byTaskKey.remove(entry.key());
        removeRequestId(entry);
    }

    /** Assigns a request id that this incarnation of the placer has not used before. */
    void assignRequestId(RequestEntry entry) {
        entry.assignRequestId("q" + ++lastRequestNumber);
        byRequestId.put(entry.requestId(), entry);
    }

    /** Invalidates the current request id of the entry. */
    void removeRequestId(RequestEntry entry) {
        byRequestId.remove(entry.requestId());
    }

    int size() {
        return byTaskKey.size();
    }
}
