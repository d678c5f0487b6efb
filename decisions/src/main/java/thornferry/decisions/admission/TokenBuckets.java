package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Token buckets by name. They are refilled by time, by {@link #add}, or by both. Memory is bounded:
 * a full bucket is discarded, because a new bucket begins full.
 */
final class TokenBuckets {
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
     * @param capacity maximum number of tokens in a bucket, and the number in a new one; infinite
     *     for no limit
     */
    TokenBuckets(double tokensPerSecond, double capacity) {
        configure(tokensPerSecond, capacity);
    }

    /** Changes rate and capacity; tokens in the buckets remain, up to the new capacity. */
    void configure(double newTokensPerSecond, double newCapacity) {
        tokensPerSecond = newTokensPerSecond;
        capacity = newCapacity;
    }

    /** Whether the named bucket holds a token. */
    boolean hasToken(long nowMicros, String name) {
        return isUnlimited() || refilled(nowMicros, name).tokens >= 1;
    }

    /** Takes a token, also from an empty bucket, which then owes it. */
    void take(long nowMicros, String name) {
        if (!isUnlimited()) {
            refilled(nowMicros, name).tokens -= 1;
        }
    }

    /** Adds tokens, up to the capacity. */
    void add(long nowMicros, String name, double tokens) {
        if (!isUnlimited()) {
            Bucket bucket = refilled(nowMicros, name);
            bucket.tokens = Math.min(capacity, bucket.tokens + tokens);
        }
    }

    /**
     * Time at which the bucket holds a token if none is added: {@code nowMicros} if it holds one,
     * {@link QuotaBlock#NO_TIME_LIMIT_MICROS} if time does not refill it.
     */
    long nextTokenAtMicros(long nowMicros, String name) {
        if (hasToken(nowMicros, name)) {
            return nowMicros;
        }
        double missing = 1 - refilled(nowMicros, name).tokens;
        return tokensPerSecond <= 0
                ? QuotaBlock.NO_TIME_LIMIT_MICROS
                : nowMicros + 1 + (long) (missing * MICROS_PER_SECOND / tokensPerSecond);
    }

    private boolean isUnlimited() {
        return capacity == Double.POSITIVE_INFINITY;
    }

    private Bucket refilled(long nowMicros, String name) {
        Bucket bucket = buckets.get(name);
        if (bucket == null) {
            discardFullBuckets(nowMicros);
            bucket = new Bucket(capacity, nowMicros);
            buckets.put(name, bucket);
        }
        long elapsedMicros = Math.max(0, nowMicros - bucket.updatedAtMicros);
        bucket.tokens = Math.min(capacity, bucket.tokens + refillOver(elapsedMicros));
        bucket.updatedAtMicros = Math.max(bucket.updatedAtMicros, nowMicros);
        return bucket;
    }

    private double refillOver(long elapsedMicros) {
        return elapsedMicros * tokensPerSecond / MICROS_PER_SECOND;
    }

    private void discardFullBuckets(long nowMicros) {
        if (buckets.size() < nextSweepSize) {
            return;
        }
        buckets.values()
                .removeIf(
                        bucket ->
                                bucket.tokens + refillOver(nowMicros - bucket.updatedAtMicros)
                                        >= capacity);
        nextSweepSize = Math.max(MIN_SWEEP_SIZE, 2 * buckets.size());
    }
}
