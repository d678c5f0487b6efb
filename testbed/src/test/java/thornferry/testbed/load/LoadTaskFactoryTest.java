package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import thornferry.protocol.v1.Task;

final class LoadTaskFactoryTest {
    private static final long SEED = 1;
    private static final long RUN_MILLIS = 300;

    private static List<Task> draw(int count, long runMillis) {
        LoadTaskFactory factory = new LoadTaskFactory(new SplittableRandom(SEED));
        List<Task> tasks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tasks.add(factory.next(runMillis));
        }
        return tasks;
    }

    /** The draws of a task are class, service, cores and memory, so that a seed gives one load. */
    @Test
    void drawsInFixedOrder() {
        SplittableRandom random = new SplittableRandom(SEED);
        for (Task task : draw(50, RUN_MILLIS)) {
            double classDraw = random.nextDouble();
            assertThat(task.getTaskClass())
                    .isEqualTo(
                            classDraw < 0.5
                                    ? "gauge-relay"
                                    : classDraw < 0.99 ? "depot-sync" : "levy-run");
            assertThat(task.getService()).isEqualTo(task.getTaskClass() + random.nextInt(8));
            if (!task.getTaskClass().equals("levy-run")) {
                assertThat(task.getCores()).isEqualTo(0.5 + 0.25 * random.nextInt(4));
                assertThat(task.getMemory()).isEqualTo(1 + random.nextInt(2));
                assertThat(task.getRunsForMs()).isEqualTo(RUN_MILLIS);
            }
        }
    }

    @Test
    void numbersTasksAndKeys() {
        List<Task> tasks = draw(2, RUN_MILLIS);
        assertThat(tasks).extracting(Task::getId).containsExactly("l1", "l2");
        assertThat(tasks).extracting(Task::getKey).containsExactly("kl1", "kl2");
    }

    @Test
    void drawsClassesByShare() {
        List<Task> tasks = draw(10_000, RUN_MILLIS);
        assertThat(tasks.stream().filter(task -> task.getTaskClass().equals("gauge-relay")).count())
                .isBetween(4_800L, 5_200L);
        assertThat(tasks.stream().filter(task -> task.getTaskClass().equals("levy-run")).count())
                .isBetween(60L, 140L);
    }

    @Test
    void limitsRunTimeOfLargeTasks() {
        assertThat(largeTask(RUN_MILLIS).getRunsForMs()).isEqualTo(4 * RUN_MILLIS);
        assertThat(largeTask(600).getRunsForMs()).isEqualTo(2_000);
    }

    private static Task largeTask(long runMillis) {
        return draw(1_000, runMillis).stream()
                .filter(task -> task.getTaskClass().equals("levy-run"))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void halfOfTheCoresAreUsedWithinLimits() {
        assertThat(LoadGenerator.runMillis(130, 2_400)).isEqualTo(9_230);
        assertThat(LoadGenerator.runMillis(10, 2_400)).isEqualTo(10_000);
        assertThat(LoadGenerator.runMillis(5_000, 24)).isEqualTo(50);
    }
}
