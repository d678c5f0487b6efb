package thornferry.testbed.load;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The result of a {@link RetryStormExperiment}.
 *
 * @param admissionQueue whether the admission queue was enabled
 * @param burst number of tasks requested at the same time
 * @param points how new tasks fared after the burst, by second
 */
public record RecoveryOutcome(boolean admissionQueue, int burst, List<RecoveryPoint> points) {
    /** Fraction of new tasks placed in time from which the placer counts as recovered. */
    private static final double RECOVERED_FRACTION = 0.95;

    /** Copies the list. */
    public RecoveryOutcome {
        points = List.copyOf(points);
    }

    /**
     * Seconds from the burst until the first second from which on new tasks were always placed in
     * time; empty if they were not in the last one.
     */
    public OptionalDouble recoverySeconds() {
        OptionalDouble recovery = OptionalDouble.empty();
        for (int i = points.size() - 1; i >= 0; i--) {
            RecoveryPoint point = points.get(i);
            if (point.placedInTimeFraction() < RECOVERED_FRACTION) {
                break;
            }
            recovery = OptionalDouble.of(point.secondsAfterBurst());
        }
        return recovery;
    }
}
