package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Chooses the timeout of each attempt from the waits for earlier answers: a smoothed mean and mean
 * deviation, like the retransmission timeout of TCP (RFC 6298).
 */
final class AttemptTimeoutEstimator {
    static final long MIN_TIMEOUT_MICROS = 600 * Micros.MILLISECOND;
    private static final long MAX_TIMEOUT_MICROS = 3 * Micros.SECOND;

    /** The minimum where a machine answers only when the task runs. */
    private static final long MIN_TIMEOUT_UNTIL_RUNNING_MICROS = 1500 * Micros.MILLISECOND;

    /** The smoothed waits for answers of one sort of start. */
    private static final class WaitEstimate {
        private static final double SMOOTHING = 0.05;
        private static final double MEAN_FACTOR = 3;
        private static final double DEVIATION_FACTOR = 4;

        /** Assumed until waits are known. */
        private static final double INITIAL_MEAN_MICROS = 100 * Micros.MILLISECOND;

        private static final double INITIAL_DEVIATION_MICROS = 50 * Micros.MILLISECOND;

        private double meanMicros = INITIAL_MEAN_MICROS;
        private double deviationMicros = INITIAL_DEVIATION_MICROS;

        void add(long waitMicros) {
            deviationMicros += SMOOTHING * (Math.abs(waitMicros - meanMicros) - deviationMicros);
            meanMicros += SMOOTHING * (waitMicros - meanMicros);
        }

        double timeoutMicros() {
            return MEAN_FACTOR * meanMicros + DEVIATION_FACTOR * deviationMicros;
        }
    }

    private final Settings settings;
    private final WaitEstimate waitsWithProgram = new WaitEstimate();
    private final WaitEstimate waitsWithSetup = new WaitEstimate();

    AttemptTimeoutEstimator(Settings settings) {
        this.settings = settings;
    }

    private WaitEstimate waits(boolean setupExpected) {
        return setupExpected ? waitsWithSetup : waitsWithProgram;
    }

    /** Takes how long the answer to the task's latest attempt took. */
    void recordWait(TrackedTask task, long waitMicros) {
        waits(task.isSetupExpected()).add(waitMicros);
    }

    /**
     * The timeout of the task's next attempt.
     *
     * @param setupExpected whether the program has to be set up on the machine
     * @param timeLeftMicros how long the offer may take before a final answer is due
     */
    long timeoutMicros(TrackedTask task, boolean setupExpected, long timeLeftMicros) {
        if (task.taskClass().idempotency() == Idempotency.NON_IDEMPOTENT) {
            // A timeout would gain nothing: the task could not be retried.
            return timeLeftMicros;
        }
        double minMicros =
                settings.acceptedWhenRunning()
                        ? MIN_TIMEOUT_UNTIL_RUNNING_MICROS
                        : MIN_TIMEOUT_MICROS;
        double estimateMicros = waits(setupExpected).timeoutMicros();
        long timeoutMicros =
                (long) Math.min(MAX_TIMEOUT_MICROS, Math.max(minMicros, estimateMicros));
        boolean lastAttempt = task.attempts() + 1 >= settings.limits().maxAttempts();
        boolean timeForAnother = timeLeftMicros - timeoutMicros >= MIN_TIMEOUT_MICROS;
        return lastAttempt && !timeForAnother ? timeLeftMicros : timeoutMicros;
    }
}
