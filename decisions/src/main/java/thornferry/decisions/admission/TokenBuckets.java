package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Token buckets by name, filled by time, by deed, or by both. Bounded: a bucket that is full again
 * is forgotten, for it would begin full. Times are microseconds.
 */
final class TokenBuckets {
    private static final class Bucket {
        double tokens;
        long at;
    }

    private static final int SWEEP_ABOVE = 4_096;

    private final Map<String, Bucket> buckets = new HashMap<>();
    private double perSecond;
    private double most;
    private int sweepAt = SWEEP_ABOVE;

    /**
     * @param most what a bucket holds at the most, and at first
     */
    TokenBuckets(double perSecond, double most) {
        set(perSecond, most);
    }

    /** Other rates from now on; what is in the buckets stays, up to the new most. */
    void set(double rate, double capacity) {
        perSecond = rate;
        most = capacity;
    }

    private Bucket filled(long now, String name) {
        Bucket b = buckets.get(name);
        if (b == null) {
            sweep(now);
            b = new Bucket();
            b.tokens = most;
            b.at = now;
            buckets.put(name, b);
        }
        b.tokens = Math.min(most, b.tokens + Math.max(0, now - b.at) * perSecond / 1e6);
        b.at = Math.max(b.at, now);
        return b;
    }

    private void sweep(long now) {
        if (buckets.size() < sweepAt) {
            return;
        }
        for (Iterator<Bucket> i = buckets.values().iterator(); i.hasNext(); ) {
            Bucket b = i.next();
            if (b.tokens + (now - b.at) * perSecond / 1e6 >= most) {
                i.remove();
            }
        }
        sweepAt = Math.max(SWEEP_ABOVE, 2 * buckets.size());
    }

    boolean has(long now, String name) {
        return most == Double.POSITIVE_INFINITY || filled(now, name).tokens >= 1;
    }

    void take(long now, String name) {
        if (most < Double.POSITIVE_INFINITY) {
            filled(now, name).tokens -= 1;
        }
    }

    void add(long now, String name, double tokens) {
        if (most < Double.POSITIVE_INFINITY) {
            Bucket b = filled(now, name);
            b.tokens = Math.min(most, b.tokens + tokens);
        }
    }

    /** When there will be a token if none is added; {@code now} where there is one. */
    long ready(long now, String name) {
        if (has(now, name)) {
            return now;
        }
        double lacks = 1 - filled(now, name).tokens;
        return perSecond <= 0 ? Long.MAX_VALUE / 4 : now + 1 + (long) (lacks * 1e6 / perSecond);
    }

    int size() {
        return buckets.size();
    }
}
