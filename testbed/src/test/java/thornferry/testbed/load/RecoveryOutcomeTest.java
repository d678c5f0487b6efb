package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

final class RecoveryOutcomeTest {
    /** An outcome with one point per second. */
    private static RecoveryOutcome outcome(double... placedInTimeFractions) {
        List<RecoveryPoint> points = new ArrayList<>();
        for (double fraction : placedInTimeFractions) {
            points.add(new RecoveryPoint(points.size(), fraction));
        }
        return new RecoveryOutcome(true, 1_000, points);
    }

    @Test
    void recoversAtFirstSecondOfTheLastGoodPeriod() {
        assertThat(outcome(0.1, 1, 0.9, 0.95, 1).recoverySeconds()).hasValue(3);
    }

    @Test
    void recoversAtOnceIfAllSecondsAreGood() {
        assertThat(outcome(1, 0.99).recoverySeconds()).hasValue(0);
    }

    @Test
    void hasNotRecoveredIfTheLastSecondIsBad() {
        assertThat(outcome(1, 1, 0.94).recoverySeconds()).isEqualTo(OptionalDouble.empty());
    }

    @Test
    void hasNotRecoveredWithoutPoints() {
        assertThat(outcome().recoverySeconds()).isEqualTo(OptionalDouble.empty());
    }
}
