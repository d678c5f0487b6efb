package thornferry.decisions.diagnosis;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Caches diagnoses of requests that back off, by request shape: many such requests share a shape.
 * An entry is valid for one version of the cluster view.
 */
final class ReasonCache {
    private static final int MAX_ENTRIES = 1_000;

    private record Entry(long clusterVersion, Diagnosis diagnosis) {}

    private final Map<RequestShape, Entry> entries = new HashMap<>();

    Diagnosis get(RequestShape shape, long clusterVersion, Supplier<Diagnosis> compute) {
        Entry entry = entries.get(shape);
        if (entry == null || entry.clusterVersion() != clusterVersion) {
            entry = new Entry(clusterVersion, compute.get());
            entries.put(shape, entry);
        }
        return entry.diagnosis();
    }

    /** Empties the cache once it has grown beyond its bound. */
    void trim() {
        if (entries.size() > MAX_ENTRIES) {
            entries.clear();
        }
    }
}
