package thornferry.testbed.diagnosis;

import java.util.Optional;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which the outcome of an attempt is not known. */
final class RecoveryScenarios {
    private RecoveryScenarios() {}

    /** The connection broke before the answer; the node's inventory then shows that nothing ran. */
    static PendingReasonScenario earlierAttemptUncertain() {
        return new PendingReasonScenario(
                "an earlier attempt may have run",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    ScriptedNode node =
                            cluster.newNode("n1").respondWith(OfferResponse.IGNORE).join();
                    cluster.submitObserved(TaskClass.NON_IDEMPOTENT, 1);
                    cluster.awaitReason(
                            ScenarioCluster.OBSERVED_TASK, ExpectedReason.ofKind(Kind.ANSWER));
                    node.breakConnection();
                },
                new ExpectedReason(Kind.PROOF, "n1"),
                Optional.of(
                        cluster -> {
                            cluster.startNode("n2");
                            // the same incarnation, whose inventory lacks the attempt
                            cluster.startNode("n1");
                        }));
    }

    /** The task is offered to a node that does not answer. */
    static PendingReasonScenario answerPending() {
        return new PendingReasonScenario(
                "offered, and the answer is due",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.newNode("n1").respondWith(OfferResponse.IGNORE).join();
                    cluster.submitObserved(TaskClass.NON_IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.ANSWER, "n1"),
                Optional.empty());
    }
}
