package thornferry.testbed.load;

import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures how long a placer takes to recover from a burst of requests and their retries, with or
 * without its admission queue. The nodes are used to half of their capacity before and after it.
 */
public final class RetryStormExperiment {
    private static final double LOAD = 0.5;
    private static final Duration POINT_INTERVAL = Duration.ofSeconds(1);
    private static final double NANOS_PER_SECOND = 1e9;

    private final OverloadSetup setup;

    /** Creates the experiment; each run has a cluster of its own. */
    public RetryStormExperiment(OverloadSetup setup) {
        this.setup = setup;
    }

    /**
     * Runs the experiment once.
     *
     * @param admissionQueue whether the admission queue is enabled
     * @param burst number of tasks requested at the same time
     * @param duration measured time after the burst, whole seconds
     */
    public RecoveryOutcome run(boolean admissionQueue, int burst, Duration duration)
            throws Exception {
        double tasksPerSecond = LOAD * setup.capacityTasksPerSecond();
        OverloadMeasurement warmUp = new OverloadMeasurement(setup.tenants());
        try (OverloadCluster cluster =
                new OverloadCluster(setup, setup.siteWithAdmissionQueue(admissionQueue))) {
            SmallTaskWorkload workload =
                    new SmallTaskWorkload(cluster, warmUp, setup.tenants().size());
            workload.generate(tasksPerSecond, OverloadExperiment.WARM_UP);
            workload.burst(burst);
            long burstNanos = System.nanoTime();
            List<Future<RecoveryPoint>> points = new ArrayList<>();
            for (int second = 0; second < duration.toSeconds(); second++) {
                double secondsAfterBurst = (System.nanoTime() - burstNanos) / NANOS_PER_SECOND;
                OverloadMeasurement measurement = new OverloadMeasurement(setup.tenants());
                workload.measureInto(measurement);
                workload.generate(tasksPerSecond, POINT_INTERVAL);
                points.add(evaluateLater(cluster, measurement, secondsAfterBurst));
            }
            return new RecoveryOutcome(admissionQueue, burst, await(points));
        }
    }

    /** The point of a second that has just ended, when its last tasks can no longer be in time. */
    private static Future<RecoveryPoint> evaluateLater(
            OverloadCluster cluster, OverloadMeasurement measurement, double secondsAfterBurst) {
        return cluster.loop()
                .schedule(
                        () ->
                                new RecoveryPoint(
                                        secondsAfterBurst, measurement.placedInTimeFraction()),
                        OverloadMeasurement.IN_TIME_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private static List<RecoveryPoint> await(List<Future<RecoveryPoint>> points) {
        return points.stream().map(point -> point.syncUninterruptibly().getNow()).toList();
    }
}
