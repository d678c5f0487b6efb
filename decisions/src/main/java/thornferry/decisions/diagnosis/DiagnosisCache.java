package thornferry.decisions.diagnosis;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Caches the diagnoses of requests that are backing off, by request shape, because many such
 * requests have the same shape. An entry is valid for one version of the cluster view.
 */
final class DiagnosisCache {
    private static final int MAX_ENTRIES = 1_000;

    private record Entry(long clusterVersion, Diagnosis diagnosis) {}

    private final Map<RequestShape, Entry> entryByShape = new HashMap<>();

    /** Returns the cached diagnosis, or computes and caches it if there is no valid entry. */
    Diagnosis getOrCompute(RequestShape shape, long clusterVersion, Supplier<Diagnosis> compute) {
        Entry entry = entryByShape.get(shape);
        if (entry == null || entry.clusterVersion() != clusterVersion) {
            entry = new Entry(clusterVersion, compute.get());
            entryByShape.put(shape, entry);
        }
        return entry.diagnosis();
    }

    /** Clears the cache if it has more than {@link #MAX_ENTRIES} entries. */
    void trim() {
        if (entryByShape.size() > MAX_ENTRIES) {
            entryByShape.clear();
        }
    }
}
