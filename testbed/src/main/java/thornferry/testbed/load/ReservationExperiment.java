package thornferry.testbed.load;

import java.time.Duration;
import thornferry.protocol.v1.Task;

/**
 * Measures what becomes of large tasks among many small ones, with or without capacity
 * reservations: beside the small tasks, a large non-idempotent one is requested every half second.
 */
public final class ReservationExperiment {
    private static final int LARGE_TASKS_PER_SECOND = 2;
    private static final long LARGE_TASK_INTERVAL_MILLIS = 1_000 / LARGE_TASKS_PER_SECOND;
    private static final int LARGE_TASK_TENANT = 1;
    private static final double LARGE_TASK_WEIGHT = 2;
    private static final double LARGE_TASK_CORES = 10;
    private static final double LARGE_TASK_MEMORY = 20;
    private static final long LARGE_TASK_RUN_MILLIS = 3_000;
    private static final long LARGE_TASK_MAX_WAIT_MILLIS = 8_000;

    /** Time after the last request until all large tasks have a result. */
    private static final long DRAIN_MILLIS = LARGE_TASK_MAX_WAIT_MILLIS + 1_000;

    private final OverloadSetup setup;

    /** The measurement of one run; confined to the clients' event loop. */
    private static final class LargeTaskCount {
        private int placed;
    }

    /** Creates the experiment; each run has a cluster of its own. */
    public ReservationExperiment(OverloadSetup setup) {
        this.setup = setup;
    }

    /**
     * Runs the experiment once.
     *
     * @param load offered load of small tasks, as a multiple of {@link
     *     OverloadSetup#capacityTasksPerSecond}
     * @param reservations whether capacity is reserved for large tasks
     * @param duration the measured time, whole seconds
     */
    public ReservationOutcome run(double load, boolean reservations, Duration duration)
            throws Exception {
        double tasksPerSecond = load * setup.capacityTasksPerSecond();
        int requested = (int) (LARGE_TASKS_PER_SECOND * duration.toSeconds());
        OverloadMeasurement warmUp = new OverloadMeasurement(setup.tenants());
        OverloadMeasurement measurement = new OverloadMeasurement(setup.tenants());
        LargeTaskCount largeTasks = new LargeTaskCount();
        try (OverloadCluster cluster =
                new OverloadCluster(setup, setup.siteWithReservations(reservations))) {
            SmallTaskWorkload workload =
                    new SmallTaskWorkload(cluster, warmUp, setup.tenants().size());
            workload.generate(tasksPerSecond, OverloadExperiment.WARM_UP);
            workload.measureInto(measurement);
            scheduleLargeTasks(cluster, requested, measurement, largeTasks);
            workload.generate(tasksPerSecond, duration);
            double priorityWeight = cluster.callOnLoop(measurement::priorityWeight);
            Thread.sleep(DRAIN_MILLIS);
            return new ReservationOutcome(
                    load,
                    reservations,
                    requested,
                    cluster.callOnLoop(() -> largeTasks.placed),
                    priorityWeight / duration.toSeconds());
        }
    }

    private static void scheduleLargeTasks(
            OverloadCluster cluster,
            int count,
            OverloadMeasurement measurement,
            LargeTaskCount largeTasks) {
        for (int i = 0; i < count; i++) {
            Task task = largeTask(i);
            cluster.schedule(
                    Duration.ofMillis(i * LARGE_TASK_INTERVAL_MILLIS),
                    () ->
                            cluster.submit(
                                    LARGE_TASK_TENANT,
                                    task,
                                    result -> {
                                        if (TaskOutcome.of(result) == TaskOutcome.PLACED) {
                                            largeTasks.placed++;
                                            measurement.placedOther(LARGE_TASK_WEIGHT);
                                        }
                                    }));
        }
    }

    private static Task largeTask(int number) {
        return Task.newBuilder()
                .setId("large" + number)
                .setTaskClass(TaskClasses.LEVY_RUN)
                .setService("levy")
                .setCores(LARGE_TASK_CORES)
                .setMemory(LARGE_TASK_MEMORY)
                .setRunsForMs(LARGE_TASK_RUN_MILLIS)
                .setPatienceMs(LARGE_TASK_MAX_WAIT_MILLIS)
                .build();
    }
}
