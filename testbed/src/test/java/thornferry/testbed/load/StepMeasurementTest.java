package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class StepMeasurementTest {
    private final StepMeasurement measurement = new StepMeasurement();

    private void request(int count) {
        for (int i = 0; i < count; i++) {
            measurement.taskRequested();
        }
    }

    @Test
    void countsTasksByOutcome() {
        request(6);
        measurement.taskCompleted(TaskOutcome.PLACED);
        measurement.taskCompleted(TaskOutcome.PLACED);
        measurement.taskCompleted(TaskOutcome.REJECTED);
        measurement.taskCompleted(TaskOutcome.FAILED);
        measurement.taskEndedWithoutResult();
        measurement.taskExcluded();
        assertThat(measurement.report(130, 0).counts()).isEqualTo(new TaskCounts(6, 2, 1, 1, 2, 1));
        assertThat(measurement.hasOutstandingTasks()).isTrue();
    }

    @Test
    void stepIsCorrectOnceAllTasksAreAnswered() {
        request(1);
        assertThat(measurement.report(130, 0).isCorrect()).isFalse();
        measurement.taskCompleted(TaskOutcome.REJECTED);
        assertThat(measurement.report(130, 0).isCorrect()).isTrue();
        assertThat(measurement.hasOutstandingTasks()).isFalse();
    }

    @Test
    void stepIsIncorrectAfterDuplicateStart() {
        assertThat(measurement.report(130, 1).isCorrect()).isFalse();
    }

    @Test
    void measuresJournaledOffersSeparately() {
        measurement.taskOffered(100, false);
        measurement.taskOffered(200, true);
        measurement.resultReceived(300);
        LoadReport report = measurement.report(130, 0);
        assertThat(report.toOffer()).isEqualTo(new LatencySummary(2, 100, 200, 200, 200));
        assertThat(report.toJournaledOffer()).isEqualTo(new LatencySummary(1, 200, 200, 200, 200));
        assertThat(report.toResult()).isEqualTo(new LatencySummary(1, 300, 300, 300, 300));
    }
}
