package thornferry.testbed.load;

import java.util.SplittableRandom;
import thornferry.protocol.v1.Task;

/**
 * Draws the tasks of the load generator: half are {@code gauge-relay}, nearly half {@code
 * depot-sync}, and one in a hundred is a large {@code levy-run}.
 */
final class LoadTaskFactory {
    private static final double GAUGE_RELAY_SHARE = 0.5;
    private static final double SMALL_TASK_SHARE = 0.99;
    private static final int SERVICES_PER_CLASS = 8;
    private static final double LARGE_TASK_CORES = 8;
    private static final double LARGE_TASK_MEMORY = 16;
    private static final long MAX_LARGE_TASK_RUN_MILLIS = 2_000;

    private final SplittableRandom random;
    private long lastNumber;

    LoadTaskFactory(SplittableRandom random) {
        this.random = random;
    }

    /**
     * The next task.
     *
     * @param runMillis run time of a small task
     */
    Task next(long runMillis) {
        String taskClass = drawClass();
        lastNumber++;
        String id = "l" + lastNumber;
        Task.Builder task =
                Task.newBuilder()
                        .setId(id)
                        .setTaskClass(taskClass)
                        .setService(taskClass + random.nextInt(SERVICES_PER_CLASS))
                        .setKey("k" + id);
        if (taskClass.equals(TaskClasses.LEVY_RUN)) {
            return task.setCores(LARGE_TASK_CORES)
                    .setMemory(LARGE_TASK_MEMORY)
                    .setRunsForMs(Math.min(MAX_LARGE_TASK_RUN_MILLIS, 4 * runMillis))
                    .build();
        }
        return task.setCores(0.5 + 0.25 * random.nextInt(4))
                .setMemory(1 + random.nextInt(2))
                .setRunsForMs(runMillis)
                .build();
    }

    private String drawClass() {
        double draw = random.nextDouble();
        if (draw < GAUGE_RELAY_SHARE) {
            return TaskClasses.GAUGE_RELAY;
        }
        return draw < SMALL_TASK_SHARE ? TaskClasses.DEPOT_SYNC : TaskClasses.LEVY_RUN;
    }
}
