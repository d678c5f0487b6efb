package thornferry.decisions.placement;

/**
 * A scalar Kalman filter with two modes: the value follows rising load fast and falling load
 * slowly.
 *
 * <p>A fast and a slow estimate are updated with every sample. The value is the fast estimate while
 * samples exceed the slow one, and the slow estimate otherwise. At each change of mode the slow
 * estimate is reset to the fast one. The measurement noise of both estimates is 1, so that the
 * process noise of the fast estimate and the error variance after a reset are the only parameters.
 */
final class DualModeKalmanFilter {
    /**
     * The process noise of the fast estimate. Samples are late rather than noisy, so the gain is
     * near 0.8.
     */
    private static final double FAST_PROCESS_NOISE = 3.0;

    /**
     * The error variance of the slow estimate after a reset: the first gain is 0.8, later gains
     * shrink.
     */
    private static final double RESET_ERROR = 4.0;

    private double slowEstimate;
    private double fastEstimate;
    private double slowError = 1;
    private double fastError = 1;
    private boolean rising;
    private boolean hasSample;

    /** Updates both estimates with one sample. A sample that is not finite is ignored. */
    void update(double sample) {
        if (!Double.isFinite(sample)) {
            return;
        }
        hasSample = true;
        double gain = slowError / (slowError + 1);
        slowEstimate += gain * (sample - slowEstimate);
        slowError *= 1 - gain;
        fastError += FAST_PROCESS_NOISE;
        gain = fastError / (fastError + 1);
        fastEstimate += gain * (sample - fastEstimate);
        fastError *= 1 - gain;
        boolean aboveSlow = sample > slowEstimate;
        if (aboveSlow != rising) {
            // When load starts to fall, the slow estimate continues from the fast one. When it
            // starts to rise, the reset lets the later decay start from the peak of the fast
            // estimate.
            slowEstimate = fastEstimate;
            slowError = RESET_ERROR;
            rising = aboveSlow;
        }
    }

    /** Returns the filtered value, 0 before the first sample. */
    double value() {
        return rising ? fastEstimate : slowEstimate;
    }

    boolean hasSample() {
        return hasSample;
    }
}
