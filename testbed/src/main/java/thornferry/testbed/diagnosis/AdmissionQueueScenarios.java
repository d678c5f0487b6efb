package thornferry.testbed.diagnosis;

import java.util.Optional;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.diagnosis.ScenarioSite.TaskClass;

/** Scenarios in which the observed task waits in the admission queue behind other tasks. */
final class AdmissionQueueScenarios {
    /** Settings that allow one dispatched task at a time and never reserve capacity. */
    private static final String SINGLE_TASK_WINDOW =
            """
            [line]
            window = 1
            take-back-ms = 60000
            gather-for-ms = 0
            """;

    private static final long RESERVATION_DELAY_MILLIS = 100;

    /** Settings that reserve capacity for a large task after a short wait. */
    private static final String EARLY_RESERVATION =
            """
            [line]
            gather-after-ms = %d
            gather-for-ms = 2000
            """
                    .formatted(RESERVATION_DELAY_MILLIS);

    private AdmissionQueueScenarios() {}

    /** The owner's tenant is above its fair share while another tenant waits. */
    static PendingReasonScenario aboveFairShare() {
        return new PendingReasonScenario(
                "above one's share",
                SINGLE_TASK_WINDOW,
                cluster -> {
                    fillNodeAndDispatchWindow(cluster);
                    cluster.submitAsOtherOwner(TaskClass.IDEMPOTENT, 1);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.TENANT_SHARE, "one"),
                Optional.of(cluster -> cluster.node("n1").endTask("blocker")));
    }

    /** A task of higher priority weight waits ahead of the observed task. */
    static PendingReasonScenario behindOtherTasks() {
        return new PendingReasonScenario(
                "its turn has not come",
                SINGLE_TASK_WINDOW,
                cluster -> {
                    fillNodeAndDispatchWindow(cluster);
                    cluster.submit("ahead", TaskClass.HIGH_PRIORITY, 1);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                new ExpectedReason(Kind.TURN, "before it"),
                Optional.of(cluster -> cluster.node("n1").endTask("blocker")));
    }

    /** Free capacity is reserved for a larger task of higher priority weight. */
    static PendingReasonScenario capacityReserved() {
        return new PendingReasonScenario(
                "room is kept for a larger task",
                EARLY_RESERVATION,
                cluster -> {
                    cluster.startNode("n1");
                    cluster.place("blocker", TaskClass.HIGH_PRIORITY, 10);
                    cluster.submit("large", TaskClass.HIGH_PRIORITY, 10);
                    Thread.sleep(2 * RESERVATION_DELAY_MILLIS);
                    cluster.submitObserved(TaskClass.IDEMPOTENT, 1);
                },
                ExpectedReason.ofKind(Kind.GATHERING),
                Optional.of(cluster -> cluster.node("n1").endTask("blocker")));
    }

    /**
     * Fills the only node, then fills the dispatch window with a task for which no capacity is
     * free.
     */
    private static void fillNodeAndDispatchWindow(ScenarioCluster cluster)
            throws ScenarioFailedException, InterruptedException {
        cluster.startNode("n1");
        cluster.place("blocker", TaskClass.HIGH_PRIORITY, 10);
        cluster.submit("dispatched", TaskClass.HIGH_PRIORITY, 10);
        cluster.awaitReason("dispatched", ExpectedReason.ofKind(Kind.NO_ROOM));
    }
}
