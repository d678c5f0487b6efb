package thornferry.testbed.diagnosis;

import static thornferry.testbed.diagnosis.ScenarioCluster.OBSERVED_TASK;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import thornferry.protocol.v1.Why;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/**
 * Median response times of two sorts of status queries that an owner must not be able to tell
 * apart.
 *
 * @param otherOwnersTaskMicros median for queries about a pending task of another owner
 * @param missingTaskMicros median for queries about a task that does not exist
 */
record QueryTiming(long otherOwnersTaskMicros, long missingTaskMicros) {
    /** Name of the same length as the observed task's, so that the frames have the same size. */
    private static final String MISSING_TASK = "not-here";

    /**
     * Measures both medians with alternating queries.
     *
     * @param queries number of queries about each of the two tasks
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
            throw new ScenarioFailedException(
                    "the state of another owner's task or a missing task should be unknown: "
                            + why);
        }
        return micros;
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }
}
