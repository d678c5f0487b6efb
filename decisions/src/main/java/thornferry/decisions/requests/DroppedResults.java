package thornferry.decisions.requests;

import java.util.LinkedHashMap;

/**
 * The tasks whose results were dropped before the end of their retention time because too many
 * results were retained. Without this set, a repeated request would start such a task again. Only
 * the hash of each task key is stored, and the number of tasks is bounded.
 */
final class DroppedResults {
    private static final int MAX_DROPPED = 200_000;

    private static final long HASH_SEED = 1125899906842597L;
    private static final long HASH_FACTOR = 31;

    private final LinkedHashMap<Long, Long> expiryMicrosByHash = new LinkedHashMap<>();

    void add(String taskKey, long expiresAtMicros) {
        if (expiryMicrosByHash.size() < MAX_DROPPED) {
            expiryMicrosByHash.put(hash(taskKey), expiresAtMicros);
        }
    }

    boolean contains(long now, String taskKey) {
        Long expiresAtMicros = expiryMicrosByHash.get(hash(taskKey));
        return expiresAtMicros != null && now < expiresAtMicros;
    }

    void removeExpired(long now) {
        while (!expiryMicrosByHash.isEmpty()
                && expiryMicrosByHash.values().iterator().next() <= now) {
            expiryMicrosByHash.remove(expiryMicrosByHash.keySet().iterator().next());
        }
    }

    /**
     * Returns a polynomial hash of 64 bits. The 32 bits of {@link String#hashCode} would collide
     * too often with this many keys.
     */
    private static long hash(String taskKey) {
        long hash = HASH_SEED;
        for (int i = 0; i < taskKey.length(); i++) {
            hash = HASH_FACTOR * hash + taskKey.charAt(i);
        }
        return hash;
    }
}
