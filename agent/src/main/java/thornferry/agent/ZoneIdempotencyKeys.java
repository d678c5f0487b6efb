package thornferry.agent;

import java.util.HashMap;
import java.util.Map;

/**
 * The memory of keys that the nodes of one hall share: stands in for the shared store of real
 * halls, so the nodes of a hall must live in one process here. Safe for use by several threads.
 */
public final class ZoneIdempotencyKeys {
    private record Claim(String attempt, long until) {}

    private static final int SWEEP_ABOVE = 10_000;

    private final Map<String, Claim> claims = new HashMap<>();

    /** Claims a key for an attempt; false where another attempt's claim stands. Microseconds. */
    public synchronized boolean claim(
            long now, String zone, String taskClass, String key, String attempt, long window) {
        if (claims.size() > SWEEP_ABOVE) {
            claims.values().removeIf(c -> c.until() <= now);
        }
        String name = zone + '\n' + taskClass + '\n' + key;
        Claim standing = claims.get(name);
        if (standing != null && standing.until() > now && !standing.attempt().equals(attempt)) {
            return false;
        }
        claims.put(name, new Claim(attempt, now + window));
        return true;
    }

    /** Gives a key back: the attempt that claimed it never ran. */
    public synchronized void release(String zone, String taskClass, String key, String attempt) {
        String name = zone + '\n' + taskClass + '\n' + key;
        Claim standing = claims.get(name);
        if (standing != null && standing.attempt().equals(attempt)) {
            claims.remove(name);
        }
    }
}
