package thornferry.testbed.load;

import java.util.SplittableRandom;
import thornferry.protocol.v1.Task;

/**
 * Draws the small tasks of an overload experiment: seven of ten are {@code gauge-relay} with one
 * core, the others {@code depot-sync} with two cores. Each runs 1.5 to 2.5 seconds.
 */
final class SmallTaskFactory {
    /** Mean number of cores that a task requests. */
    static final double MEAN_CORES = 1.3;

    /** Mean run time of a task. */
    static final double MEAN_RUN_SECONDS = 2;

    /** How long a request may wait for a result. */
    static final long MAX_WAIT_MILLIS = 4_000;

    private static final double DEPOT_SYNC_SHARE = 0.3;
    private static final double DEPOT_SYNC_WEIGHT = 5;
    private static final double GAUGE_RELAY_WEIGHT = 1;
    private static final int SERVICES = 8;
    private static final long MIN_RUN_MILLIS = 1_500;
    private static final int RUN_SPREAD_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final SplittableRandom random;
    private long lastNumber;

    SmallTaskFactory(SplittableRandom random) {
        this.random = random;
    }

    /** The next task, requested by the tenant of this index. */
    SmallTask next(int tenant) {
        boolean depotSync = random.nextDouble() < DEPOT_SYNC_SHARE;
        lastNumber++;
        String id = "v" + lastNumber;
        double cores = depotSync ? 2 : 1;
        long runMillis = MIN_RUN_MILLIS + random.nextInt(RUN_SPREAD_MILLIS);
        Task task =
                Task.newBuilder()
                        .setId(id)
                        .setTaskClass(depotSync ? TaskClasses.DEPOT_SYNC : TaskClasses.GAUGE_RELAY)
                        .setService("s" + random.nextInt(SERVICES))
                        .setKey("k" + id)
                        .setCores(cores)
                        .setMemory(cores)
                        .setRunsForMs(runMillis)
                        .setPatienceMs(MAX_WAIT_MILLIS)
                        .build();
        return new SmallTask(
                tenant,
                task,
                depotSync ? DEPOT_SYNC_WEIGHT : GAUGE_RELAY_WEIGHT,
                cores * runMillis / MILLIS_PER_SECOND);
    }
}
