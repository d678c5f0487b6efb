package thornferry.testbed.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import thornferry.client.TaskClient;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.TestCluster;

class PendingReasonScenariosTest {
    /**
     * Guards against a kind of reason without a scenario. Each scenario fails by itself if the
     * placer does not report the expected reason, or does not place the task once the cause ends.
     */
    @Test
    void reportsEveryKindOfReasonAndPlacesTaskOnceCauseEnds() throws Exception {
        List<PendingReasonScenarios.Shown> shownReasons = PendingReasonScenarios.play();
        Set<Kind> shownKinds = EnumSet.noneOf(Kind.class);
        shownReasons.forEach(reason -> shownKinds.add(reason.kind()));
        Set<Kind> expectedKinds = EnumSet.allOf(Kind.class);
        expectedKinds.remove(Kind.UNRECOGNIZED);
        assertThat(shownKinds).containsAll(expectedKinds);
    }

    @Test
    void notifiesWatcherOfReasonChangesOfItsOwnTasksOnly() throws Exception {
        try (TestCluster cluster = new TestCluster()) {
            List<String> notifications = new CopyOnWriteArrayList<>();
            TaskClient client = cluster.client("depot1", "one");
            client.watchReasons(
                    why -> notifications.add(why.getState() + " " + why.getReason().getKind()));
            client.submit(TestCluster.task("t", TestCluster.IDEMPOTENT));
            await().until(() -> notifications.contains("waiting NO_NODES"));
            cluster.startNode("n1", "zone-a");
            await().until(() -> notifications.contains("placed UNKNOWN"));
            cluster.client("depot2", "two")
                    .watchReasons(why -> notifications.add("another owner's " + why));
            client.submit(
                    TestCluster.task("u", TestCluster.IDEMPOTENT).toBuilder()
                            .setCores(900)
                            .build());
            await().until(() -> notifications.contains("waiting NO_FIT"));
            assertThat(notifications)
                    .noneMatch(notification -> notification.startsWith("another owner's"));
        }
    }
}
