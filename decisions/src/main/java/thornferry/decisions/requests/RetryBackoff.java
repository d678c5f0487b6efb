package thornferry.decisions.requests;

import java.util.SplittableRandom;

/** The retry-after of rejections: exponential backoff by task, with jitter. */
final class RetryBackoff {
    /** Keeps the doubling clear of an overflow. */
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
     * Draws the delay for a task: between half of its backoff and all of it, so that owners
     * rejected together do not retry together.
     *
     * @param dispatchCount how often the task was dispatched; the backoff doubles with each
     */
    private long drawMicros(int dispatchCount) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, dispatchCount - 1));
        long backoffMicros = Math.min(maxMicros, minMicros << doublings);
        return backoffMicros / 2 + (long) (random.nextDouble() * backoffMicros / 2);
    }

    /** A rejection with the delay drawn for the task. */
    RequestOutcome rejection(RequestEntry entry, String reason) {
        return RequestOutcome.rejected(reason, drawMicros(entry.dispatchCount()));
    }

    /** The delay for a task, or a longer one that is required; bounded. */
    long drawAtLeastMicros(long requiredMicros, int dispatchCount) {
        return bounded(Math.max(requiredMicros, drawMicros(dispatchCount)));
    }

    long bounded(long delayMicros) {
        return Math.min(delayMicros, maxMicros);
    }
}
