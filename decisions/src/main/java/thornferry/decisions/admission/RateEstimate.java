package thornferry.decisions.admission;

/** An exponentially weighted moving average of the rate of events. */
final class RateEstimate {
    /** Weight of the latest period in the average. */
    private static final double SMOOTHING = 0.2;

    private static final double MICROS_PER_SECOND = 1e6;

    private double perSecond;
    private int eventsInPeriod;

    RateEstimate(double initialPerSecond) {
        perSecond = initialPerSecond;
    }

    void recordEvent() {
        eventsInPeriod++;
    }

    /** Ends a period and adds its events to the average. */
    void endPeriod(long periodMicros) {
        perSecond += SMOOTHING * (eventsInPeriod * MICROS_PER_SECOND / periodMicros - perSecond);
        eventsInPeriod = 0;
    }

    double perSecond() {
        return perSecond;
    }
}
