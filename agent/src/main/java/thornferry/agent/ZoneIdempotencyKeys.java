package thornferry.agent;

import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency keys that the nodes of each zone have claimed. The class emulates the store that
 * the nodes of a real zone share, so all nodes of a zone must run in one process. Thread-safe.
 */
final class ZoneIdempotencyKeys {
    /** An idempotency key with its scope: keys are unique within a zone and task class. */
    record ZoneKey(String zone, String taskClass, String key) {}

    private record Claim(String attempt, long expiresMicros) {}

    /** The number of claims above which expired ones are removed. */
    private static final int CLEANUP_THRESHOLD = 10_000;

    private final Map<ZoneKey, Claim> claimByKey = new HashMap<>();

    /**
     * Claims a key for an attempt.
     *
     * @param windowMicros how long the claim stays valid
     * @return false if another attempt has a valid claim
     */
    synchronized boolean claim(long now, ZoneKey key, String attempt, long windowMicros) {
        if (claimByKey.size() > CLEANUP_THRESHOLD) {
            claimByKey.values().removeIf(claim -> claim.expiresMicros() <= now);
        }
        Claim existing = claimByKey.get(key);
        if (existing != null
                && existing.expiresMicros() > now
                && !existing.attempt().equals(attempt)) {
            return false;
        }
        claimByKey.put(key, new Claim(attempt, now + windowMicros));
        return true;
    }

    /** Releases a key if the given attempt, which never ran, holds the claim. */
    synchronized void release(ZoneKey key, String attempt) {
        Claim existing = claimByKey.get(key);
        if (existing != null && existing.attempt().equals(attempt)) {
            claimByKey.remove(key);
        }
    }
}
