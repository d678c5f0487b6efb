package thornferry.testbed.diagnosis;

import java.util.Optional;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which the outcome of an attempt is unknown. */
final class RecoveryScenarios {
    private RecoveryScenarios() {}

    /**
     * The connection breaks before the answer; a later inventory shows that the attempt did not
     * run.
     */
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
                            // registers with the same incarnation and an inventory without the
                            // attempt
                            cluster.startNode("n1");
                        }));
    }

    /** The observed task is offered to a node that does not answer. */
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
