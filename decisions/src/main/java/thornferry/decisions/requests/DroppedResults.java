package thornferry.decisions.requests;

import java.util.LinkedHashMap;

/**
 * Tasks whose results were dropped before their retention time ended, as there were too many.
 * Without this, a repeated request would start such a task again. Of a task only the hash of its
 * key is stored, and of a bounded number of tasks.
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

    /** A polynomial hash of 64 bits: {@link String#hashCode} has too few for so many keys. */
    private static long hash(String taskKey) {
        long hash = HASH_SEED;
        for (int i = 0; i < taskKey.length(); i++) {
            hash = HASH_FACTOR * hash + taskKey.charAt(i);
        }
        return hash;
    }
}
