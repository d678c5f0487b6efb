package thornferry.decisions.placement;

/**
 * Scalar Kalman filter with two modes: it follows rising load fast and falling load slowly.
 *
 * <p>A fast and a slow estimate are updated with every sample; the fast one is reported while
 * samples exceed the slow estimate, the slow one otherwise. At each change of mode the slow
 * estimate is reset to the fast one. The measurement noise of both is 1, which leaves the process
 * noise of the fast estimate and the error after a reset as the only parameters.
 */
final class DualModeKalmanFilter {
    /** Process noise of the fast estimate: samples are late, not noisy, so its gain is near 0.8. */
    private static final double FAST_PROCESS_NOISE = 3.0;

    /** Error of the slow estimate after a reset: its first gain is 0.8, later ones shrink. */
    private static final double RESET_ERROR = 4.0;

    private double slowEstimate;
    private double fastEstimate;
    private double slowError = 1;
    private double fastError = 1;
    private boolean rising;
    private boolean hasSample;

    /** Takes one sample; a value that is not finite is ignored. */
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
            // When load falls, the slow estimate goes on from where the fast one is; when it
            // rises, the later decay starts from the peak of the fast one.
            slowEstimate = fastEstimate;
            slowError = RESET_ERROR;
            rising = aboveSlow;
        }
    }

    /** The filtered value, 0 before the first sample. */
    double value() {
        return rising ? fastEstimate : slowEstimate;
    }

    boolean hasSample() {
        return hasSample;
    }
}
