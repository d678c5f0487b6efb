package thornferry.testbed.diagnosis;

import static thornferry.testbed.diagnosis.ScenarioCluster.OBSERVED_TASK;

import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.protocol.v1.Why;
import thornferry.testbed.diagnosis.PendingReasonScenarios.Shown;
import thornferry.testbed.diagnosis.ScenarioCluster.ObservedStatus;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/**
 * A scenario in which the reason changes while the task is pending: the node rejects the task for
 * lack of memory, then drains, then accepts the task. The history of reasons must contain the
 * rejection before the drain.
 */
final class ReasonChangeScenario {
    private static final String REJECTED_NAME = "changing: refused";
    private static final String DRAINING_NAME = "changing: drains";
    private static final String PLACED_NAME = "changing: room comes";

    private ReasonChangeScenario() {}

    static List<Shown> play() throws IOException, ScenarioFailedException, InterruptedException {
        try (ScenarioCluster cluster =
                ScenarioCluster.start(PendingReasonScenario.NO_EXTRA_SETTINGS)) {
            ScriptedNode node =
                    cluster.newNode("n1")
                            .respondWith(OfferResponse.reject(Answer.Reason.NO_MEMORY))
                            .join();
            cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
            Shown rejected = awaitReasonOfKind(cluster, REJECTED_NAME, Kind.REFUSED);
            node.setDraining(true);
            Shown draining = awaitReasonOfKind(cluster, DRAINING_NAME, Kind.DRAINING);
            node.respondWith(OfferResponse.RUN);
            Shown placed = awaitPlaced(cluster, node);
            return List.of(rejected, draining, placed);
        }
    }

    private static Shown awaitReasonOfKind(ScenarioCluster cluster, String name, Kind kind)
            throws ScenarioFailedException, InterruptedException {
        ObservedStatus observed = cluster.awaitReason(OBSERVED_TASK, ExpectedReason.ofKind(kind));
        return Shown.of(
                name,
                kind,
                observed.why().getReason().getSentence(),
                observed.waitedMicros(),
                OptionalLong.empty());
    }

    private static Shown awaitPlaced(ScenarioCluster cluster, ScriptedNode node)
            throws ScenarioFailedException, InterruptedException {
        Stopwatch stopwatch = Stopwatch.start();
        node.setDraining(false);
        cluster.awaitPlaced(OBSERVED_TASK);
        long placedMicros = stopwatch.elapsedMicros();
        Why why = cluster.status(OBSERVED_TASK);
        requireRejectedThenDraining(why);
        return Shown.of(
                PLACED_NAME, Kind.UNKNOWN, why.getState(), 0, OptionalLong.of(placedMicros));
    }

    private static void requireRejectedThenDraining(Why why) throws ScenarioFailedException {
        List<Kind> history =
                why.getHistoryList().stream().map(change -> change.getReason().getKind()).toList();
        int rejectedIndex = history.indexOf(Kind.REFUSED);
        int drainingIndex = history.indexOf(Kind.DRAINING);
        if (rejectedIndex < 0 || drainingIndex < rejectedIndex) {
            throw new ScenarioFailedException(
                    "the history should contain REFUSED, then DRAINING: " + history);
        }
    }
}
