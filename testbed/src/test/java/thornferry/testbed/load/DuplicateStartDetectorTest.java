package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DuplicateStartDetectorTest {
    private final DuplicateStartDetector detector = new DuplicateStartDetector();

    @Test
    void countsTaskThatTwoAttemptsStarted() {
        detector.offered("attempt-1", "task");
        detector.offered("attempt-2", "task");
        detector.started("attempt-1");
        assertThat(detector.duplicateCount()).isZero();
        detector.started("attempt-2");
        assertThat(detector.duplicateCount()).isEqualTo(1);
    }

    @Test
    void ignoresAttemptsOfOtherTasks() {
        detector.started("attempt-1");
        detector.started("attempt-1");
        assertThat(detector.duplicateCount()).isZero();
    }
}
