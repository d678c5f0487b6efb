package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import thornferry.protocol.v1.Task;

final class OverloadMeasurementTest {
    private static final TenantAccount FIRST = new TenantAccount("first", "owner-0", 0.6);
    private static final TenantAccount SECOND = new TenantAccount("second", "owner-1", 0.4);

    private final OverloadMeasurement measurement = new OverloadMeasurement(List.of(FIRST, SECOND));

    private static SmallTask task(int tenant, double weight, double coreSeconds) {
        return new SmallTask(tenant, Task.getDefaultInstance(), weight, coreSeconds);
    }

    @Test
    void sumsServiceByTenant() {
        measurement.placed(task(0, 1, 1.5));
        measurement.placed(task(1, 5, 4));
        measurement.placed(task(0, 1, 2.5));
        assertThat(measurement.serviceTotals())
                .isEqualTo(
                        new ServiceTotals(
                                3,
                                7,
                                List.of(new TenantTotals(FIRST, 4), new TenantTotals(SECOND, 4))));
    }

    @Test
    void countsOtherTasksByWeightOnly() {
        measurement.placedOther(2);
        assertThat(measurement.priorityWeight()).isEqualTo(2);
        assertThat(measurement.serviceTotals().placed()).isZero();
    }

    @Test
    void tellsEarlyAndLateRejectionsApart() {
        measurement.rejected(0);
        measurement.rejected(1_999_999);
        measurement.rejected(2_000_000);
        measurement.rejected(3_599_999);
        measurement.rejected(3_600_000);
        AnswerTotals answers = measurement.answerTotals();
        assertThat(answers.earlyRejections()).isEqualTo(2);
        assertThat(answers.lateRejections()).isEqualTo(1);
    }

    @Test
    void countsRequestsAndAnswers() {
        measurement.requested();
        measurement.requested();
        measurement.answered(1_500);
        measurement.unanswered();
        assertThat(measurement.answerTotals()).isEqualTo(new AnswerTotals(2, 1_500, 0, 0, 1));
    }

    @Test
    void placedInTimeUpToOneSecond() {
        measurement.requested();
        measurement.requested();
        measurement.placedAtFirstAttempt(1_000_000);
        measurement.placedAtFirstAttempt(1_000_001);
        assertThat(measurement.placedInTimeFraction()).isEqualTo(0.5);
    }

    @Test
    void nothingIsPlacedInTimeWithoutRequests() {
        assertThat(measurement.placedInTimeFraction()).isZero();
    }
}
