package thornferry.testbed.diagnosis;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import thornferry.protocol.v1.Reason.Kind;
import thornferry.testbed.TestCluster;

class PendingReasonScenariosTest {
    /**
     * Each scenario fails where another reason than the true one is shown, or where its end does
     * not end it.
     */
    @Test
    void everyReasonIsShownWhereItIsTrueAndEndsWithWhatItSays() throws Exception {
        List<PendingReasonScenarios.Shown> shown = PendingReasonScenarios.play();
        Set<Kind> kinds = EnumSet.noneOf(Kind.class);
        shown.forEach(s -> kinds.add(s.kind()));
        Set<Kind> all = EnumSet.allOf(Kind.class);
        all.remove(Kind.UNRECOGNIZED);
        assertThat(kinds).containsAll(all);
    }

    @Test
    void whoWatchesHearsOfEachChangeAndOfTheEnd() throws Exception {
        try (TestCluster rig = new TestCluster()) {
            List<String> heard = new java.util.concurrent.CopyOnWriteArrayList<>();
            thornferry.client.TaskClient client = rig.client("depot1", "one");
            client.watchReasons(why -> heard.add(why.getState() + " " + why.getReason().getKind()));
            client.submit(TestCluster.task("t", "gauge-relay"));
            org.awaitility.Awaitility.await().until(() -> heard.contains("waiting NO_NODES"));
            rig.node("n1", "hall-a");
            org.awaitility.Awaitility.await().until(() -> heard.contains("placed UNKNOWN"));
            rig.client("depot2", "two").watchReasons(why -> heard.add("another's " + why));
            client.submit(TestCluster.task("u", "gauge-relay").toBuilder().setCores(900).build());
            org.awaitility.Awaitility.await().until(() -> heard.contains("waiting NO_FIT"));
            assertThat(heard).noneMatch(h -> h.startsWith("another's"));
        }
    }
}
