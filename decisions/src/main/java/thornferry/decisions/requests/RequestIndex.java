package thornferry.decisions.requests;

import java.util.HashMap;
import java.util.Map;

/** All known requests, by task and by request id. */
final class RequestIndex {
    private final Map<String, RequestEntry> byTask = new HashMap<>();
    private final Map<String, RequestEntry> byRequestId = new HashMap<>();
    private long requestCount;

    /** The entry of the task, or null where it is not known. */
    RequestEntry find(String taskKey) {
        return byTask.get(taskKey);
    }

    /** The entry of the request, or null where it is not known. */
    RequestEntry findByRequestId(String requestId) {
        return byRequestId.get(requestId);
    }

    /** Adds an entry and returns the one that it replaces, or null. */
    RequestEntry put(RequestEntry entry) {
        return byTask.put(entry.key(), entry);
    }

    void remove(RequestEntry entry) {
        byTask.remove(entry.key());
        removeRequestId(entry);
    }

    /** Gives the entry a request id that was never used by this incarnation of the placer. */
    void assignRequestId(RequestEntry entry) {
        entry.assignRequestId("q" + ++requestCount);
        byRequestId.put(entry.requestId(), entry);
    }

    /** The request id that the entry has now is not valid any more. */
    void removeRequestId(RequestEntry entry) {
        byRequestId.remove(entry.requestId());
    }

    int size() {
        return byTask.size();
    }
}
