package thornferry.testbed.load;

import java.time.Duration;

/**
 * Measures a placer that is offered more than can be placed, with or without its admission queue.
 * The tenants request tasks at the same rate, although their shares differ, and retry rejected
 * ones.
 */
public final class OverloadExperiment {
    /** Time until the nodes are as full as they get. */
    static final Duration WARM_UP = Duration.ofSeconds(5);

    /** Time after the last request until all requests have an answer; retries may continue. */
    private static final long DRAIN_MILLIS = SmallTaskFactory.MAX_WAIT_MILLIS + 2_500;

    private final OverloadSetup setup;

    /** Creates the experiment; each run has a cluster of its own. */
    public OverloadExperiment(OverloadSetup setup) {
        this.setup = setup;
    }

    /**
     * Runs the experiment once.
     *
     * @param load offered load, as a multiple of {@link OverloadSetup#capacityTasksPerSecond}
     * @param admissionQueue whether the admission queue is enabled
     * @param duration the measured time, whole seconds
     */
    public OverloadOutcome run(double load, boolean admissionQueue, Duration duration)
            throws Exception {
        double tasksPerSecond = load * setup.capacityTasksPerSecond();
        OverloadMeasurement warmUp = new OverloadMeasurement(setup.tenants());
        OverloadMeasurement measurement = new OverloadMeasurement(setup.tenants());
        try (OverloadCluster cluster =
                new OverloadCluster(setup, setup.siteWithAdmissionQueue(admissionQueue))) {
            SmallTaskWorkload workload =
                    new SmallTaskWorkload(cluster, warmUp, setup.tenants().size());
            workload.generate(tasksPerSecond, WARM_UP);
            workload.measureInto(measurement);
            workload.generate(tasksPerSecond, duration);
            ServiceTotals service = cluster.callOnLoop(measurement::serviceTotals);
            Thread.sleep(DRAIN_MILLIS);
            return new OverloadOutcome(
                    load,
                    admissionQueue,
                    service.placed(),
                    service.priorityWeight() / duration.toSeconds(),
                    Fairness.of(service.tenants()),
                    cluster.callOnLoop(measurement::answerTotals));
        }
    }
}
