package thornferry.testbed.diagnosis;

import java.util.Optional;
import thornferry.protocol.v1.Answer;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which the nodes lack the capacity for the observed task. */
final class CapacityScenarios {
    private CapacityScenarios() {}

    /** No node is connected, until one registers. */
    static PendingReasonScenario noNodes() {
        return new PendingReasonScenario(
                "no node is connected",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                ExpectedReason.ofKind(Kind.NO_NODES),
                Optional.of(cluster -> cluster.startNode("n1")));
    }

    /** The observed task needs more cores than any node has. */
    static PendingReasonScenario largerThanAnyNode() {
        return new PendingReasonScenario(
                "larger than any node",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 20);
                },
                new ExpectedReason(Kind.NO_FIT, "too small"),
                Optional.empty());
    }

    /** A running task occupies the only node, until the task ends. */
    static PendingReasonScenario notEnoughCores() {
        return new PendingReasonScenario(
                "not enough cores",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.place("blocker", TaskClass.HIGH_PRIORITY, 10);
                    cluster.submitObserved(TaskClass.HIGH_PRIORITY, 10);
                },
                new ExpectedReason(Kind.NO_ROOM, "n1"),
                Optional.of(cluster -> cluster.node("n1").endTask("blocker")));
    }

    /** The node first rejects the observed task for lack of memory, then accepts it. */
    static PendingReasonScenario nodeRejectsForMemory() {
        return new PendingReasonScenario(
                "a node refuses for memory",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.newNode("n1")
                            .respondWith(OfferResponse.reject(Answer.Reason.NO_MEMORY))
                            .join();
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.REFUSED, "not enough memory"),
                Optional.of(cluster -> cluster.node("n1").respondWith(OfferResponse.RUN)));
    }
}
