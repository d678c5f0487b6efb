package thornferry.testbed.diagnosis;

import static thornferry.testbed.diagnosis.ScenarioCluster.OBSERVED_TASK;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import thornferry.protocol.v1.Why;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/**
 * Median response times of an owner's status queries that must not be distinguishable.
 *
 * @param otherOwnersTaskMicros of queries about a pending task of another owner
 * @param missingTaskMicros of queries about a task that does not exist
 */
record QueryTiming(long otherOwnersTaskMicros, long missingTaskMicros) {
    /** As long as the name of the pending task, so that the frames have the same size. */
    private static final String MISSING_TASK = "not-here";

    /**
     * Measures both medians with alternating queries.
     *
     * @param queries number of queries of each sort
     */
    static QueryTiming measure(int queries)
            throws IOException, ScenarioFailedException, InterruptedException {
        try (ScenarioCluster cluster =
                ScenarioCluster.start(PendingReasonScenario.NO_EXTRA_SETTINGS)) {
            cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
            cluster.awaitStatus(
                    OBSERVED_TASK, why -> why.getState().equals("waiting"), "state waiting");
            List<Long> otherOwnersTaskMicros = new ArrayList<>();
            List<Long> missingTaskMicros = new ArrayList<>();
            for (int i = 0; i < queries; i++) {
                otherOwnersTaskMicros.add(queryMicros(cluster, OBSERVED_TASK));
                missingTaskMicros.add(queryMicros(cluster, MISSING_TASK));
            }
            return new QueryTiming(median(otherOwnersTaskMicros), median(missingTaskMicros));
        }
    }

    private static long queryMicros(ScenarioCluster cluster, String task)
            throws ScenarioFailedException, InterruptedException {
        Stopwatch stopwatch = Stopwatch.start();
        Why why = cluster.statusAsOtherOwner(task);
        long micros = stopwatch.elapsedMicros();
        if (!why.getState().equals("unknown")) {
            throw new ScenarioFailedException("another owner's task is shown: " + why);
        }
        return micros;
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }
}
