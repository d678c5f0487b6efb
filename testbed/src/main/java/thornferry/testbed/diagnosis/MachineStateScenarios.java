package thornferry.testbed.diagnosis;

import java.time.Duration;
import java.util.Optional;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which the state of the only node excludes it from placement. */
final class MachineStateScenarios {
    private MachineStateScenarios() {}

    /** The connection of the node is broken, until another node registers. */
    static PendingReasonScenario connectionBroken() {
        return new PendingReasonScenario(
                "the node's connection broke",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1").breakConnection();
                    cluster.allowProcessing();
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.OUT_OF_TRUST, "n1"),
                Optional.of(cluster -> cluster.startNode("n2")));
    }

    /** The node drains, until the drain is cancelled. */
    static PendingReasonScenario draining() {
        return new PendingReasonScenario(
                "the node drains",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.startNode("n1").setDraining(true);
                    cluster.allowProcessing();
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.DRAINING, "n1"),
                Optional.of(cluster -> cluster.node("n1").setDraining(false)));
    }

    /** The node has used up the offers of its slow start, until another node registers. */
    static PendingReasonScenario slowStart() {
        return new PendingReasonScenario(
                "the node has just started",
                PendingReasonScenario.NO_EXTRA_SETTINGS,
                cluster -> {
                    cluster.newNode("n1").withUptime(Duration.ZERO).join();
                    cluster.place("first", TaskClass.IDEMPOTENT, 1);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.COLD, "just started"),
                Optional.of(cluster -> cluster.startNode("n2")));
    }
}
