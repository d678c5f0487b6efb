package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Settings;

/**
 * Computes the timeout of each attempt from the response times of earlier attempts: a smoothed mean
 * and mean deviation, like the retransmission timeout of TCP (RFC 6298).
 */
final class AttemptTimeoutEstimator {
    static final long MIN_TIMEOUT_MICROS = 600 * Micros.MILLISECOND;
    private static final long MAX_TIMEOUT_MICROS = 3 * Micros.SECOND;

    /** The minimum if machines accept a task only once it runs. */
    private static final long MIN_TIMEOUT_UNTIL_RUNNING_MICROS = 1500 * Micros.MILLISECOND;

    /** The smoothed response times of attempts that start in one way: with or without set-up. */
    private static final class ResponseTimeEstimate {
        private static final double SMOOTHING = 0.05;
        private static final double MEAN_FACTOR = 3;
        private static final double DEVIATION_FACTOR = 4;

        /** The mean before the first response; the deviation below likewise. */
        private static final double INITIAL_MEAN_MICROS = 100 * Micros.MILLISECOND;

        private static final double INITIAL_DEVIATION_MICROS = 50 * Micros.MILLISECOND;

        private double meanMicros = INITIAL_MEAN_MICROS;
        private double deviationMicros = INITIAL_DEVIATION_MICROS;

        void add(long responseMicros) {
            deviationMicros +=
                    SMOOTHING * (Math.abs(responseMicros - meanMicros) - deviationMicros);
            meanMicros += SMOOTHING * (responseMicros - meanMicros);
        }

        double timeoutMicros() {
            return MEAN_FACTOR * meanMicros + DEVIATION_FACTOR * deviationMicros;
        }
    }

    private final Settings settings;
    private final ResponseTimeEstimate responseTimesWithoutSetup = new ResponseTimeEstimate();
    private final ResponseTimeEstimate responseTimesWithSetup = new ResponseTimeEstimate();

    AttemptTimeoutEstimator(Settings settings) {
        this.settings = settings;
    }

    private ResponseTimeEstimate responseTimes(boolean setupExpected) {
        return setupExpected ? responseTimesWithSetup : responseTimesWithoutSetup;
    }

    /** Records the response time of the task's latest attempt. */
    void recordResponseTime(TrackedTask task, long responseMicros) {
        responseTimes(task.isSetupExpected()).add(responseMicros);
    }

    /**
     * Returns the timeout of the task's next attempt.
     *
     * @param setupExpected whether the program has to be set up on the machine
     * @param timeLeftMicros how long the offer may take before the result of the request is due
     */
    long timeoutMicros(TrackedTask task, boolean setupExpected, long timeLeftMicros) {
        if (task.taskClass().idempotency() == Idempotency.NON_IDEMPOTENT) {
            // A shorter timeout gains nothing: the task must not be retried after it.
            return timeLeftMicros;
        }
        double minMicros =
                settings.acceptedWhenRunning()
                        ? MIN_TIMEOUT_UNTIL_RUNNING_MICROS
                        : MIN_TIMEOUT_MICROS;
        double estimateMicros = responseTimes(setupExpected).timeoutMicros();
        long timeoutMicros =
                (long) Math.min(MAX_TIMEOUT_MICROS, Math.max(minMicros, estimateMicros));
        boolean isLastAttempt = task.attempts() + 1 >= settings.limits().maxAttempts();
        boolean hasTimeForAnotherAttempt = timeLeftMicros - timeoutMicros >= MIN_TIMEOUT_MICROS;
        return isLastAttempt && !hasTimeForAnotherAttempt ? timeLeftMicros : timeoutMicros;
    }
}
