package thornferry.agent;

import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency keys that the nodes of a zone have claimed. It emulates the store that the nodes
 * of a real zone share, so all nodes of a zone must run in one process. Thread-safe.
 */
final class ZoneIdempotencyKeys {
    /** An idempotency key; keys are unique within a task class and a zone. */
    record ZoneKey(String zone, String taskClass, String key) {}

    private record Claim(String attempt, long expiresMicros) {}

    /** Expired claims are removed when there are more claims than this. */
    private static final int EXPIRY_THRESHOLD = 10_000;

    private final Map<ZoneKey, Claim> claims = new HashMap<>();

    /**
     * Claims a key for an attempt.
     *
     * @param windowMicros how long the claim stays valid
     * @return false if another attempt has a valid claim
     */
    synchronized boolean claim(long now, ZoneKey key, String attempt, long windowMicros) {
        if (claims.size() > EXPIRY_THRESHOLD) {
            claims.values().removeIf(claim -> claim.expiresMicros() <= now);
        }
        Claim existing = claims.get(key);
        if (existing != null
                && existing.expiresMicros() > now
                && !existing.attempt().equals(attempt)) {
            return false;
        }
        claims.put(key, new Claim(attempt, now + windowMicros));
        return true;
    }

    /** Releases the claim of an attempt that never ran. */
    synchronized void release(ZoneKey key, String attempt) {
        Claim existing = claims.get(key);
        if (existing != null && existing.attempt().equals(attempt)) {
            claims.remove(key);
        }
    }
}
