package thornferry.decisions.requests;

import java.util.LinkedHashMap;

/**
 * The completed requests whose results are retained for repeated requests, oldest first. The
 * request for a placed task is added when the task has terminated.
 */
final class RetainedResults {
    private final long retentionMicros;
    private final LinkedHashMap<String, RequestEntry> byTaskKey = new LinkedHashMap<>();

    RetainedResults(long retentionMicros) {
        this.retentionMicros = retentionMicros;
    }

    /** Retains the entry for the retention time from now. */
    void retain(long now, RequestEntry entry) {
        entry.expireAt(now + retentionMicros);
        byTaskKey.remove(entry.key());
        byTaskKey.put(entry.key(), entry);
    }

    void remove(RequestEntry entry) {
        byTaskKey.remove(entry.key());
    }

    /** Returns the entry that expires first, or null if there is none. */
    RequestEntry oldest() {
        return byTaskKey.isEmpty() ? null : byTaskKey.values().iterator().next();
    }
}
