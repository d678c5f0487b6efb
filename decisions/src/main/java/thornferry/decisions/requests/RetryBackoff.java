package thornferry.decisions.requests;

import java.util.SplittableRandom;

/** Computes the retry-after of rejections: an exponential backoff for each task, with jitter. */
final class RetryBackoff {
    /** The maximum number of doublings, which prevents an overflow. */
    private static final int MAX_DOUBLINGS = 20;

    private final long minMicros;
    private final long maxMicros;
    private final SplittableRandom random;

    RetryBackoff(long minMicros, long maxMicros, long seed) {
        this.minMicros = minMicros;
        this.maxMicros = maxMicros;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Draws the delay for a task between half of its backoff and all of it, so that owners that are
     * rejected at the same time do not retry at the same time.
     *
     * @param dispatchCount how often the task was dispatched; each dispatch after the first doubles
     *     the backoff
     */
    private long drawMicros(int dispatchCount) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, dispatchCount - 1));
        long backoffMicros = Math.min(maxMicros, minMicros << doublings);
        return backoffMicros / 2 + (long) (random.nextDouble() * backoffMicros / 2);
    }

    /** Returns a rejection with a delay drawn for the task. */
    RequestOutcome rejection(RequestEntry entry, String reason) {
        return RequestOutcome.rejected(reason, drawMicros(entry.dispatchCount()));
    }

    /** Returns the longer of the required delay and one drawn for the task, up to the maximum. */
    long drawAtLeastMicros(long requiredMicros, int dispatchCount) {
        return bounded(Math.max(requiredMicros, drawMicros(dispatchCount)));
    }

    long bounded(long delayMicros) {
        return Math.min(delayMicros, maxMicros);
    }
}
