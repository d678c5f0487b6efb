package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets by name. Buckets are refilled by time, by {@link #add}, or by both. To bound
 * memory, full buckets are discarded when there are many; this loses nothing, because a new bucket
 * begins full.
 */
final class TokenBuckets {
    /** Minimum number of buckets at which the full ones are discarded. */
    private static final int MIN_SWEEP_SIZE = 4_096;

    private static final double MICROS_PER_SECOND = 1e6;

    private static final class Bucket {
        private double tokens;
        private long updatedAtMicros;

        private Bucket(double tokens, long updatedAtMicros) {
            this.tokens = tokens;
            this.updatedAtMicros = updatedAtMicros;
        }
    }

    private final Map<String, Bucket> buckets = new HashMap<>();
    private double tokensPerSecond;
    private double capacity;
    private int nextSweepSize = MIN_SWEEP_SIZE;

    /**
     * @param tokensPerSecond refill rate of each bucket
     * @param capacity maximum number of tokens in a bucket, and the number in a new one; positive
     *     infinity for no limit
     */
    TokenBuckets(double tokensPerSecond, double capacity) {
        configure(tokensPerSecond, capacity);
    }

    /**
     * Changes the refill rate and the capacity. The tokens in each bucket remain, up to the new
     * capacity.
     */
    void configure(double newTokensPerSecond, double newCapacity) {
        tokensPerSecond = newTokensPerSecond;
        capacity = newCapacity;
    }

    /** Returns whether the named bucket holds at least one token. */
    boolean hasToken(long nowMicros, String name) {
        return isUnlimited() || refilledBucket(nowMicros, name).tokens >= 1;
    }

    /** Takes a token. The number of tokens in a bucket may become negative. */
    void take(long nowMicros, String name) {
        if (!isUnlimited()) {
            refilledBucket(nowMicros, name).tokens -= 1;
        }
    }

    /** Adds tokens to the named bucket, up to the capacity. */
    void add(long nowMicros, String name, double tokens) {
        if (!isUnlimited()) {
            Bucket bucket = refilledBucket(nowMicros, name);
            bucket.tokens = Math.min(capacity, bucket.tokens + tokens);
        }
    }

    /**
     * Returns the time at which the bucket holds a token if none is added: {@code nowMicros} if it
     * holds one now, {@link QuotaBlock#NO_TIME_LIMIT_MICROS} if time does not refill it.
     */
    long nextTokenAtMicros(long nowMicros, String name) {
        if (hasToken(nowMicros, name)) {
            return nowMicros;
        }
        double missing = 1 - refilledBucket(nowMicros, name).tokens;
        return tokensPerSecond <= 0
                ? QuotaBlock.NO_TIME_LIMIT_MICROS
                : nowMicros + 1 + (long) (missing * MICROS_PER_SECOND / tokensPerSecond);
    }

    private boolean isUnlimited() {
        return capacity == Double.POSITIVE_INFINITY;
    }

    private Bucket refilledBucket(long nowMicros, String name) {
        Bucket bucket = buckets.get(name);
        if (bucket == null) {
            discardFullBuckets(nowMicros);
            bucket = new Bucket(capacity, nowMicros);
            buckets.put(name, bucket);
        }
        long elapsedMicros = Math.max(0, nowMicros - bucket.updatedAtMicros);
        bucket.tokens = Math.min(capacity, bucket.tokens + tokensRefilledIn(elapsedMicros));
        bucket.updatedAtMicros = Math.max(bucket.updatedAtMicros, nowMicros);
        return bucket;
    }

    private double tokensRefilledIn(long elapsedMicros) {
        return elapsedMicros * tokensPerSecond / MICROS_PER_SECOND;
    }

    private void discardFullBuckets(long nowMicros) {
        if (buckets.size() < nextSweepSize) {
            return;
        }
        buckets.values()
                .removeIf(
                        bucket ->
                                bucket.tokens + tokensRefilledIn(nowMicros - bucket.updatedAtMicros)
                                        >= capacity);
        nextSweepSize = Math.max(MIN_SWEEP_SIZE, 2 * buckets.size());
    }
}
