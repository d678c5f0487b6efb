package thornferry.decisions.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ReevaluationScheduleTest {
    private final ReevaluationSchedule schedule = new ReevaluationSchedule();

    private static List<TaskRecord> tasks(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new TaskRecord(new TaskKey("o", "t" + number), 0, 2))
                .toList();
    }

    @Test
    void returnsChangedTasksOnceInOrderOfMarking() {
        List<TaskRecord> tasks = tasks(3);
        schedule.markChanged(tasks.get(2));
        schedule.markChanged(tasks.get(0));
        schedule.markChanged(tasks.get(2));
        assertThat(schedule.takeChanged()).containsExactly(tasks.get(2), tasks.get(0));
        assertThat(schedule.takeChanged()).isEmpty();
    }

    @Test
    void sweepsAllWaitingTasksInBatches() {
        List<TaskRecord> waiting = tasks(90);
        List<TaskRecord> swept = new ArrayList<>();
        while (swept.size() < waiting.size()) {
            List<TaskRecord> batch = schedule.takeSweepBatch(waiting);
            assertThat(batch).hasSizeBetween(1, 14);
            swept.addAll(batch);
        }
        assertThat(swept).isEqualTo(waiting);
    }

    @Test
    void boundsBatchSize() {
        assertThat(schedule.takeSweepBatch(tasks(10_000))).hasSize(200);
    }

    @Test
    void returnsEmptyBatchWithoutWaitingTasks() {
        assertThat(schedule.takeSweepBatch(List.of())).isEmpty();
    }
}
