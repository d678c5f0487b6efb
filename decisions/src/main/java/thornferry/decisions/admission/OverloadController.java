package thornferry.decisions.admission;

import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Detects overload, decides when to shed the next task, and when rejected clients should retry.
 *
 * <p>After CoDel (K. Nichols and V. Jacobson, "Controlling Queue Delay", ACM Queue 2012): the
 * minimum wait within an interval, not the mean, distinguishes a standing queue from a burst that
 * drains by itself. Waits are measured as fractions of each request's maximum wait, because these
 * differ by orders of magnitude.
 */
final class OverloadController {
    private static final long RATE_PERIOD_MICROS = 200_000;
    private static final double MICROS_PER_SECOND = 1e6;

    /** A time before all others that a current time can be subtracted from without overflow. */
    private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

    /** Minimum of no samples. */
    private static final double NO_SAMPLE = Double.POSITIVE_INFINITY;

    /** Intervals for which a late rejection counts as a sign of overload. */
    private static final int LATE_REJECTION_INTERVALS = 2;

    /** Part of the placement rate that retries get at least. */
    private static final double MIN_RETRY_FRACTION = 1.0 / 4;

    /** Distinguishes the random sequence from others drawn from the same seed. */
    private static final long SEED_SALT = 0x11e;

    private final Supplier<AdmissionSettings> settings;
    private final SplittableRandom random;
    private final RateEstimate placements = new RateEstimate(1);
    private final RateEstimate newRequests = new RateEstimate(0);
    private double minWaitedFraction = NO_SAMPLE;
    private long intervalEndMicros = NEVER_MICROS;
    private boolean overloaded;
    private int shedCount;
    private long nextShedMicros;
    private long ratePeriodStartMicros = NEVER_MICROS;
    private long nextRetrySlotMicros;
    private long lastLateRejectionMicros = NEVER_MICROS;

    /**
     * @param seed of the random spread of retry delays
     */
    OverloadController(Supplier<AdmissionSettings> settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed ^ SEED_SALT);
    }

    /** A request was dispatched, or would be next, after this fraction of its maximum wait. */
    void recordWait(double waitedFraction) {
        minWaitedFraction = Math.min(minWaitedFraction, waitedFraction);
    }

    /** Whether the current interval has a sample. */
    boolean hasSample() {
        return minWaitedFraction != NO_SAMPLE;
    }

    boolean intervalHasEnded(long nowMicros) {
        return nowMicros >= intervalEndMicros;
    }

    void tick(long nowMicros) {
        if (minWaitedFraction < settings.get().targetWaitFraction()) {
            overloaded = false;
            beginInterval(nowMicros);
        } else if (intervalHasEnded(nowMicros)) {
            if (!overloaded && hasSample()) {
                overloaded = true;
                shedCount = 0;
                nextShedMicros = nowMicros;
            }
            beginInterval(nowMicros);
        }
        updateRates(nowMicros);
    }

    /**
     * Discards the samples and begins a new interval. Called after a pause of this process, whose
     * effect on waits would otherwise count as overload.
     */
    void beginInterval(long nowMicros) {
        minWaitedFraction = NO_SAMPLE;
        intervalEndMicros = nowMicros + settings.get().intervalMicros();
    }

    /** Whether to shed a task now; the time to the next shrinks while overload lasts. */
    boolean takeShed(long nowMicros) {
        if (!overloaded || nowMicros < nextShedMicros) {
            return false;
        }
        shedCount++;
        nextShedMicros += (long) (settings.get().intervalMicros() / Math.sqrt(shedCount));
        return true;
    }

    boolean isOverloaded() {
        return overloaded;
    }

    /** A task was rejected only at its deadline, though some machine is large enough for it. */
    void recordLateRejection(long nowMicros) {
        lastLateRejectionMicros = nowMicros;
    }

    /**
     * Whether to reject early what would not be placed in time. The minimum wait does not suffice
     * to decide this: requests of high priority weight are dispatched at once while those of low
     * weight wait in vain. Late rejections reveal that.
     */
    boolean shouldRejectEarly(long nowMicros) {
        return overloaded
                || nowMicros - lastLateRejectionMicros
                        < LATE_REJECTION_INTERVALS * settings.get().intervalMicros();
    }

    void recordPlacement() {
        placements.count();
    }

    void recordNewRequest() {
        newRequests.count();
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
     * Delay after which a client rejected now should retry, in microseconds. Clients rejected
     * together get successive slots, each spread at random, at the placement rate that new requests
     * leave; without this they would return together.
     */
    long nextRetryAfterMicros(long nowMicros) {
        double placed = placements.perSecond();
        double spare = Math.max(placed * MIN_RETRY_FRACTION, placed - newRequests.perSecond());
        long slotMicros = (long) (MICROS_PER_SECOND / Math.max(1, spare));
        nextRetrySlotMicros = Math.max(nextRetrySlotMicros, nowMicros) + slotMicros;
        long waitMicros = nextRetrySlotMicros - nowMicros;
        long maxMicros = settings.get().maxRetryAfterMicros();
        long minMicros = settings.get().minRetryAfterMicros();
        if (waitMicros > maxMicros) {
            // More clients than there are slots: spread over all of it, as any concentration
            // within it would be another wave.
            nextRetrySlotMicros = nowMicros + maxMicros;
            return minMicros / 2 + random.nextLong(Math.max(1, maxMicros - minMicros / 2));
        }
        long delayMicros = Math.max(minMicros, waitMicros);
        return delayMicros / 2 + random.nextLong(delayMicros / 2 + 1);
    }
}
