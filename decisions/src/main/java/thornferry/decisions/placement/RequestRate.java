package thornferry.decisions.placement;

/** The smoothed rate of the placement requests to this placer. */
final class RequestRate {
    /** The time constant of the exponential smoothing. */
    private static final double SMOOTHING_MICROS = 3e6;

    private static final double MICROS_PER_SECOND = 1e6;

    private double perSecond;
    private int requestsSinceUpdate;

    void count() {
        requestsSinceUpdate++;
    }

    /**
     * Updates the rate with the requests since the last update, which was {@code elapsedMicros}
     * ago.
     */
    void update(long elapsedMicros) {
        double latest = requestsSinceUpdate * MICROS_PER_SECOND / Math.max(1, elapsedMicros);
        perSecond += Math.min(1, elapsedMicros / SMOOTHING_MICROS) * (latest - perSecond);
        requestsSinceUpdate = 0;
    }

    double perSecond() {
        return perSecond;
    }
}
