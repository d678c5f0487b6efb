package thornferry.decisions.admission;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Detects overload and determines when the next task is shed and when rejected clients should
 * retry.
 *
 * <p>The algorithm follows CoDel (K. Nichols and V. Jacobson, "Controlling Queue Delay", ACM Queue
 * 2012): the minimum wait within an interval, not the mean, distinguishes a standing queue from a
 * burst that drains by itself. Each wait is measured as a fraction of the request's maximum wait,
 * because maximum waits differ by orders of magnitude.
 */
final class OverloadController {
    /** Minimum length of a period of the rate estimates. */
    private static final long RATE_PERIOD_MICROS = 200_000;

    private static final double MICROS_PER_SECOND = 1e6;

    /** Time before all others; its difference to any current time does not overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** Value of {@link #minWaitedFraction} in an interval without samples. */
    private static final double NO_SAMPLE = Double.POSITIVE_INFINITY;

    /** Number of intervals for which a late rejection counts as a sign of overload. */
    private static final int LATE_REJECTION_INTERVALS = 2;

    /**
     * Lower bound of the fraction of the placement rate that is left to rejected clients that
     * retry.
     */
    private static final double MIN_RETRY_FRACTION = 1.0 / 4;

    /** Makes the random sequence differ from other sequences with the same seed. */
    private static final long SEED_SALT = 0x11e;

    private final Supplier<AdmissionSettings> settings;
    private final SplittableRandom random;
    private final RateEstimate placements = new RateEstimate(1);
    private final RateEstimate newRequests = new RateEstimate(0);
    private double minWaitedFraction = NO_SAMPLE;
    private long intervalEndMicros = NEVER_MICROS;
    private boolean overloaded;
    private int shedsInOverload;
    private long nextShedMicros;
    private long ratePeriodStartMicros = NEVER_MICROS;
    private long nextRetrySlotMicros;
    private long lastLateRejectionMicros = NEVER_MICROS;

    /**
     * @param seed seed of the random spread of retry delays
     */
    OverloadController(Supplier<AdmissionSettings> settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed ^ SEED_SALT);
    }

    /**
     * Records the fraction of its maximum wait that a request has waited when it is dispatched or
     * is next to be.
     */
    void recordWait(double waitedFraction) {
        minWaitedFraction = Math.min(minWaitedFraction, waitedFraction);
    }

    /** Returns whether the current interval has a sample. */
    boolean hasSample() {
        return minWaitedFraction != NO_SAMPLE;
    }

    boolean hasIntervalEnded(long nowMicros) {
        return nowMicros >= intervalEndMicros;
    }

    void tick(long nowMicros) {
        if (minWaitedFraction < settings.get().targetWaitFraction()) {
            overloaded = false;
            beginInterval(nowMicros);
        } else if (hasIntervalEnded(nowMicros)) {
            if (!overloaded && hasSample()) {
                overloaded = true;
                shedsInOverload = 0;
                nextShedMicros = nowMicros;
            }
            beginInterval(nowMicros);
        }
        updateRates(nowMicros);
    }

    /**
     * Discards the samples and begins a new interval. Also to be called after a pause of this
     * process, because the waits during the pause would otherwise count as overload.
     */
    void beginInterval(long nowMicros) {
        minWaitedFraction = NO_SAMPLE;
        intervalEndMicros = nowMicros + settings.get().intervalMicros();
    }

    /**
     * Returns whether a task is to be shed now, and if so, sets the time of the next. As in CoDel,
     * the time between two shed tasks is inversely proportional to the square root of the number
     * shed during the overload.
     */
    boolean takeShed(long nowMicros) {
        if (!overloaded || nowMicros < nextShedMicros) {
            return false;
        }
        shedsInOverload++;
        nextShedMicros += (long) (settings.get().intervalMicros() / Math.sqrt(shedsInOverload));
        return true;
    }

    boolean isOverloaded() {
        return overloaded;
    }

    /** Records that a task that fits some machine was rejected only at its deadline. */
    void recordLateRejection(long nowMicros) {
        lastLateRejectionMicros = nowMicros;
    }

    /**
     * Returns whether requests that would not be placed in time are to be rejected early. The
     * minimum wait does not suffice to decide this: requests of high priority weight may be
     * dispatched at once while those of low weight wait past their deadlines. Late rejections
     * reveal this.
     */
    boolean shouldRejectEarly(long nowMicros) {
        return overloaded
                || nowMicros - lastLateRejectionMicros
                        < LATE_REJECTION_INTERVALS * settings.get().intervalMicros();
    }

    void recordPlacement() {
        placements.recordEvent();
    }

    void recordNewRequest() {
        newRequests.recordEvent();
    }

    double placementsPerSecond() {
        return placements.perSecond();
    }

    private void updateRates(long nowMicros) {
        if (ratePeriodStartMicros == NEVER_MICROS) {
            ratePeriodStartMicros = nowMicros;
            return;
        }
        long periodMicros = nowMicros - ratePeriodStartMicros;
        if (periodMicros >= RATE_PERIOD_MICROS) {
            placements.endPeriod(periodMicros);
            newRequests.endPeriod(periodMicros);
            ratePeriodStartMicros = nowMicros;
        }
    }

    /**
     * Returns the delay after which a client rejected now should retry, in microseconds. Clients
     * rejected at the same time get successive slots, at the placement rate that new requests leave
     * over, and each delay is drawn at random between half the time to the slot and all of it;
     * otherwise all these clients would retry at once.
     */
    long nextRetryAfterMicros(long nowMicros) {
        double placementRate = placements.perSecond();
        double spareRate =
                Math.max(
                        placementRate * MIN_RETRY_FRACTION,
                        placementRate - newRequests.perSecond());
        long slotLengthMicros = (long) (MICROS_PER_SECOND / Math.max(1, spareRate));
        nextRetrySlotMicros = Math.max(nextRetrySlotMicros, nowMicros) + slotLengthMicros;
        long untilSlotMicros = nextRetrySlotMicros - nowMicros;
        long maxMicros = settings.get().maxRetryAfterMicros();
        long minMicros = settings.get().minRetryAfterMicros();
        if (untilSlotMicros > maxMicros) {
            // There are more clients than slots. Their delays are spread over the whole range,
            // because a concentration anywhere in it would cause another burst of retries.
            nextRetrySlotMicros = nowMicros + maxMicros;
            return minMicros / 2 + random.nextLong(Math.max(1, maxMicros - minMicros / 2));
        }
        long delayMicros = Math.max(minMicros, untilSlotMicros);
        return delayMicros / 2 + random.nextLong(delayMicros / 2 + 1);
    }
}
