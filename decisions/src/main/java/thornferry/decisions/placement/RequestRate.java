package thornferry.decisions.placement;

/** The smoothed rate of this placer's own placement requests. */
final class RequestRate {
    /** Time constant of the exponential smoothing. */
    private static final double SMOOTHING_MICROS = 3e6;

    private static final double MICROS_PER_SECOND = 1e6;

    private double perSecond;
    private int requestsSinceUpdate;

    void count() {
        requestsSinceUpdate++;
    }

    /** Adds the requests since the last update, which was {@code passedMicros} ago. */
    void update(long passedMicros) {
        double latest = requestsSinceUpdate * MICROS_PER_SECOND / Math.max(1, passedMicros);
        perSecond += Math.min(1, passedMicros / SMOOTHING_MICROS) * (latest - perSecond);
        requestsSinceUpdate = 0;
    }

    double perSecond() {
        return perSecond;
    }
}
