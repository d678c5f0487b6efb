package thornferry.testbed.diagnosis;

import static thornferry.testbed.diagnosis.ScenarioCluster.OBSERVED_TASK;
import static thornferry.testbed.diagnosis.ScenarioCluster.OTHER_OWNERS_TASK;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.protocol.v1.Why;
import thornferry.testbed.diagnosis.ScenarioCluster.ObservedStatus;

/**
 * Checks every kind of reason for which a task can be pending. Each scenario runs a small site in
 * which the task is pending for a known reason. The placer must report this reason, and must place
 * the task once the cause ends.
 */
public final class PendingReasonScenarios {
    /**
     * The reason that the placer reported in a scenario, with the measured times.
     *
     * @param scenario name of the scenario
     * @param kind kind of the reason
     * @param sentence text of the reason, as clients see it
     * @param shownMicros time from the first status query until the reason was reported
     * @param placedMicros time from the end of the cause until the task was placed; {@link
     *     #NOT_RESOLVED} if the scenario does not end the cause
     */
    public record Shown(
            String scenario, Kind kind, String sentence, long shownMicros, long placedMicros) {
        /** Value of {@link #placedMicros()} for a scenario that does not end the cause. */
        public static final long NOT_RESOLVED = -1;

        static Shown of(
                String scenario,
                Kind kind,
                String sentence,
                long shownMicros,
                OptionalLong placedMicros) {
            return new Shown(
                    scenario, kind, sentence, shownMicros, placedMicros.orElse(NOT_RESOLVED));
        }
    }

    /** All scenarios with a single reason, in the order in which they run. */
    private static final List<PendingReasonScenario> SINGLE_REASON_SCENARIOS =
            List.of(
                    CapacityScenarios.noNodes(),
                    CapacityScenarios.largerThanAnyNode(),
                    CapacityScenarios.notEnoughCores(),
                    CapacityScenarios.nodeRejectsForMemory(),
                    MachineStateScenarios.connectionBroken(),
                    PlacementConstraintScenarios.keyHeldByOwnTask(),
                    PlacementConstraintScenarios.keyHeldByOtherOwnersTask(),
                    MachineStateScenarios.draining(),
                    PlacementConstraintScenarios.spread(),
                    MachineStateScenarios.slowStart(),
                    QuotaScenarios.ownerQuota(),
                    QuotaScenarios.tenantQuota(),
                    QuotaScenarios.siteQuota(),
                    AdmissionQueueScenarios.aboveFairShare(),
                    AdmissionQueueScenarios.behindOtherTasks(),
                    AdmissionQueueScenarios.capacityReserved(),
                    RecoveryScenarios.earlierAttemptUncertain(),
                    RecoveryScenarios.answerPending());

    private PendingReasonScenarios() {}

    /**
     * Runs all scenarios.
     *
     * @throws ScenarioFailedException if the placer does not report the expected reason in time, or
     *     does not place the task once the cause has ended
     */
    public static List<Shown> play()
            throws IOException, ScenarioFailedException, InterruptedException {
        List<Shown> shownReasons = new ArrayList<>();
        for (PendingReasonScenario scenario : SINGLE_REASON_SCENARIOS) {
            try {
                shownReasons.add(play(scenario));
            } catch (ScenarioFailedException e) {
                throw e.inScenario(scenario.name());
            }
        }
        shownReasons.addAll(ReasonChangeScenario.play());
        return shownReasons;
    }

    private static Shown play(PendingReasonScenario scenario)
            throws IOException, ScenarioFailedException, InterruptedException {
        try (ScenarioCluster cluster = ScenarioCluster.start(scenario.extraSettings())) {
            scenario.setup().run(cluster);
            ObservedStatus observed = cluster.awaitReason(OBSERVED_TASK, scenario.expected());
            requireOtherOwnersTaskHidden(observed.why());
            OptionalLong placedMicros = OptionalLong.empty();
            if (scenario.resolution().isPresent()) {
                placedMicros =
                        OptionalLong.of(resolve(cluster, scenario.resolution().orElseThrow()));
            }
            return Shown.of(
                    scenario.name(),
                    scenario.expected().kind(),
                    observed.why().getReason().getSentence(),
                    observed.waitedMicros(),
                    placedMicros);
        }
    }

    private static void requireOtherOwnersTaskHidden(Why why) throws ScenarioFailedException {
        if (why.toString().contains(OTHER_OWNERS_TASK)) {
            throw new ScenarioFailedException("the status names another owner's task: " + why);
        }
    }

    /** Ends the cause and returns the time until the observed task was placed, in microseconds. */
    private static long resolve(ScenarioCluster cluster, ScenarioStep resolution)
            throws ScenarioFailedException, InterruptedException {
        Stopwatch stopwatch = Stopwatch.start();
        resolution.run(cluster);
        cluster.awaitPlaced(OBSERVED_TASK);
        long placedMicros = stopwatch.elapsedMicros();
        Why why = cluster.status(OBSERVED_TASK);
        if (!why.getState().equals("placed") || why.hasReason()) {
            throw new ScenarioFailedException(
                    "the state of a placed task should be placed, without a reason: " + why);
        }
        return placedMicros;
    }

    /**
     * Measures the response times of queries about another owner's pending task and about a task
     * that does not exist, which an owner must not be able to tell apart.
     *
     * @param queries number of queries about each of the two tasks
     * @return median response times in microseconds, about another owner's task and about a missing
     *     task
     */
    public static long[] timing(int queries)
            throws IOException, ScenarioFailedException, InterruptedException {
        QueryTiming timing = QueryTiming.measure(queries);
        return new long[] {timing.otherOwnersTaskMicros(), timing.missingTaskMicros()};
    }
}
