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
 * Checks every kind of reason for which a task can be pending: in a small site where the kind is
 * the true one, the placer must report it; then the cause ends and the task must be placed.
 */
public final class PendingReasonScenarios {
    /**
     * What the placer reported in a scenario.
     *
     * @param scenario name of the scenario
     * @param kind kind of the reason
     * @param sentence the reason in words, as clients see it
     * @param shownMicros time until the reason was reported
     * @param placedMicros time from the end of the cause until the task was placed; {@link
     *     #NOT_RESOLVED} if the scenario does not end the cause
     */
    public record Shown(
            String scenario, Kind kind, String sentence, long shownMicros, long placedMicros) {
        /** {@link #placedMicros()} of a scenario that does not end the cause. */
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

    /** All scenarios with a single reason, in the order in which they are played. */
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
     * Plays all scenarios.
     *
     * @throws ScenarioFailedException if a scenario shows another reason than the true one, or its
     *     task is not placed once the cause has ended
     */
    public static List<Shown> play()
            throws IOException, ScenarioFailedException, InterruptedException {
        List<Shown> shown = new ArrayList<>();
        for (PendingReasonScenario scenario : SINGLE_REASON_SCENARIOS) {
            try {
                shown.add(play(scenario));
            } catch (ScenarioFailedException e) {
                throw e.inScenario(scenario.name());
            }
        }
        shown.addAll(ReasonChangeScenario.play());
        return shown;
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
            throw new ScenarioFailedException("another owner's task is named: " + why);
        }
    }

    /** Ends the cause; returns the microseconds until the observed task was placed. */
    private static long resolve(ScenarioCluster cluster, ScenarioStep resolution)
            throws ScenarioFailedException, InterruptedException {
        Stopwatch stopwatch = Stopwatch.start();
        resolution.run(cluster);
        cluster.awaitPlaced(OBSERVED_TASK);
        long placedMicros = stopwatch.elapsedMicros();
        Why why = cluster.status(OBSERVED_TASK);
        if (!why.getState().equals("placed") || why.hasReason()) {
            throw new ScenarioFailedException("a placed task shows " + why);
        }
        return placedMicros;
    }

    /**
     * Measures the response times of queries about another owner's pending task and about a task
     * that does not exist, which an owner must not be able to tell apart.
     *
     * @param queries number of queries of each sort
     * @return the medians in microseconds: of another owner's task, of a missing task
     */
    public static long[] timing(int queries)
            throws IOException, ScenarioFailedException, InterruptedException {
        QueryTiming timing = QueryTiming.measure(queries);
        return new long[] {timing.otherOwnersTaskMicros(), timing.missingTaskMicros()};
    }
}
