package thornferry.decisions.requests;

import java.util.LinkedHashMap;

/**
 * The completed requests whose results are retained for repeated requests, oldest first. A placed
 * task joins them when it has terminated.
 */
final class RetainedResults {
    private final long retentionMicros;
    private final LinkedHashMap<String, RequestEntry> byTask = new LinkedHashMap<>();

    RetainedResults(long retentionMicros) {
        this.retentionMicros = retentionMicros;
    }

    /** Retains the entry for the retention time from now. */
    void retain(long now, RequestEntry entry) {
        entry.expireAt(now + retentionMicros);
        byTask.remove(entry.key());
        byTask.put(entry.key(), entry);
    }

    void release(RequestEntry entry) {
        byTask.remove(entry.key());
    }

    /** The entry that expires first, or null for none. */
    RequestEntry oldest() {
        return byTask.isEmpty() ? null : byTask.values().iterator().next();
    }
}
