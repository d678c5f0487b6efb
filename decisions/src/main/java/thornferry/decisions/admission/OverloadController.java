package thornferry.decisions.admission;

import java.util.SplittableRandom;

/**
 * Whether more is asked for than can be placed, when to shed the next task, and when those turned
 * away are to come back.
 *
 * <p>After CoDel (K. Nichols, V. Jacobson, "Controlling Queue Delay"): not the mean wait but the
 * least one within an interval tells a standing line from a burst that drains by itself; and waits
 * are taken as parts of each task's patience, since patience here differs by orders of magnitude.
 * Times are microseconds.
 */
final class OverloadController {
    private static final long RATED_EVERY = 200_000;

    private final SplittableRandom random;
    private AdmissionSettings settings;
    private double leastWaited = Double.POSITIVE_INFINITY;
    private long intervalEnd = Long.MIN_VALUE;
    private boolean on;
    private int sheds;
    private long nextShed;
    private double placedPerSecond = 1;
    private int placedSince;
    private double firstPerSecond;
    private int firstSince;
    private long ratedAt = Long.MIN_VALUE;
    private long nextSlot;
    private long lateAt = Long.MIN_VALUE / 2;

    OverloadController(AdmissionSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed ^ 0x11e);
    }

    void use(AdmissionSettings s) {
        settings = s;
    }

    /** A task was asked for, or would be next, after this part of its patience. */
    void waited(double part) {
        leastWaited = Math.min(leastWaited, part);
    }

    /** Whether nothing was released since the interval began, so that what waits must tell. */
    boolean untold() {
        return leastWaited == Double.POSITIVE_INFINITY;
    }

    boolean intervalOver(long now) {
        return now >= intervalEnd;
    }

    void tick(long now) {
        if (leastWaited < settings.targetWaitFraction()) {
            on = false;
            begin(now);
        } else if (now >= intervalEnd) {
            if (!on && leastWaited < Double.POSITIVE_INFINITY) {
                on = true;
                sheds = 0;
                nextShed = now;
            }
            begin(now);
        }
        rate(now);
    }

    /** Guards against calling a pause of our own an overload: the interval begins anew. */
    void begin(long now) {
        leastWaited = Double.POSITIVE_INFINITY;
        intervalEnd = now + settings.intervalMicros();
    }

    /** Whether a task is to be shed now; each time sooner after the last. */
    boolean sheds(long now) {
        if (!on || now < nextShed) {
            return false;
        }
        nextShed += (long) (settings.intervalMicros() / Math.sqrt(++sheds));
        return true;
    }

    boolean on() {
        return on;
    }

    /** A task was refused only at the end of its patience, though a machine could have taken it. */
    void late(long now) {
        lateAt = now;
    }

    /**
     * Whether to turn away what would not be reached in time. Tasks of much worth are asked for at
     * once also while those of little worth wait in vain, so the least wait alone does not tell;
     * refusals that came late do.
     */
    boolean pressed(long now) {
        return on || now - lateAt < 2 * settings.intervalMicros();
    }

    void placed() {
        placedSince++;
    }

    void firstAsk() {
        firstSince++;
    }

    private void rate(long now) {
        if (ratedAt == Long.MIN_VALUE) {
            ratedAt = now;
        } else if (now - ratedAt >= RATED_EVERY) {
            placedPerSecond += 0.2 * (placedSince * 1e6 / (now - ratedAt) - placedPerSecond);
            firstPerSecond += 0.2 * (firstSince * 1e6 / (now - ratedAt) - firstPerSecond);
            placedSince = 0;
            firstSince = 0;
            ratedAt = now;
        }
    }

    double placedPerSecond() {
        return placedPerSecond;
    }

    /**
     * After how long to ask again. Guards against a second storm: those turned away together are
     * given turns one after the other, each spread by chance, at the rate of placing that first
     * asks leave over; a quarter of it at the least.
     */
    long retryAfter(long now) {
        double spare = Math.max(placedPerSecond / 4, placedPerSecond - firstPerSecond);
        nextSlot = Math.max(nextSlot, now) + (long) (1e6 / Math.max(1, spare));
        long wait = nextSlot - now;
        long most = settings.maxRetryAfterMicros();
        long least = settings.minRetryAfterMicros();
        if (wait > most) {
            // more than can be promised turns: spread over the whole time, for any crowd within it
            // is a second storm
            nextSlot = now + most;
            return least / 2 + random.nextLong(Math.max(1, most - least / 2));
        }
        return Math.max(least, wait) / 2 + random.nextLong(Math.max(least, wait) / 2 + 1);
    }
}
