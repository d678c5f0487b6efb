package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests the commands on tasks: submit, stop, why, waiting and limits. */
class TaskCommandsTest {
    private static final int MAX_POLLS = 100;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final long BACKGROUND_TIMEOUT_MILLIS = 10_000;

    @RegisterExtension static final DemoClusterExtension CLUSTER = new DemoClusterExtension();

    @Test
    void submitPrintsResultAndReturnsItsExitCode() {
        CommandResult placed =
                CLUSTER.run("submit", "--class", "gauge-relay", "--id", "t1", "--json");
        assertThat(placed.code()).isZero();
        assertThat(placed.out()).contains("\"task\":\"t1\"").contains("\"result\":\"placed\"");
        CommandResult rejected =
                CLUSTER.run(
                        "submit",
                        "--class",
                        "gauge-relay",
                        "--cores",
                        "900",
                        "--patience-ms",
                        "200");
        assertThat(rejected.code()).isEqualTo(3);
        assertThat(rejected.out()).contains("refused").contains("try again in");
        CommandResult unknownClass = CLUSTER.run("submit", "--class", "odd");
        assertThat(unknownClass.code()).isEqualTo(1);
        assertThat(unknownClass.err()).contains("taskClass odd is not known");
        CommandResult wrongPasscode =
                CLUSTER.run("submit", "--passcode", "x", "--class", "gauge-relay");
        assertThat(wrongPasscode.code()).isEqualTo(1);
        assertThat(wrongPasscode.err()).contains("login or passcode not accepted");
    }

    @Test
    void submitFollowsTaskUntilItEnds() {
        CommandResult result =
                CLUSTER.run(
                        "submit",
                        "--class",
                        "levy-run",
                        "--id",
                        "t2",
                        "--runs-for-ms",
                        "100",
                        "--follow");
        assertThat(result.out())
                .contains("task t2 placed on node-")
                .contains("task t2 ended on node-");
    }

    @Test
    void stopsTask() {
        CLUSTER.run("submit", "--class", "gauge-relay", "--id", "t3");
        assertThat(CLUSTER.run("stop", "t3").code()).isZero();
        CommandResult unknown = CLUSTER.run("stop", "t99");
        assertThat(unknown.code()).isEqualTo(1);
        assertThat(unknown.err()).contains("no task t99 of yours");
    }

    @Test
    void whyDistinguishesPendingFinishedAndUnknownTasks() throws Exception {
        Thread submission =
                CLUSTER.runInBackground(
                        "submit",
                        "--class",
                        "gauge-relay",
                        "--cores",
                        "900",
                        "--id",
                        "w1",
                        "--patience-ms",
                        "20000");
        CommandResult why = awaitPending("w1");
        assertThat(why.code()).isZero();
        assertThat(why.out())
                .contains("task w1 waits: No node is large enough")
                .contains("nodes: 3");
        assertThat(CLUSTER.run("why", "--json", "w1").out()).contains("\"kind\":\"NO_FIT\"");
        assertThat(CLUSTER.run("waiting").out()).containsPattern("no fit +1").contains("1 pending");
        assertThat(CLUSTER.run("limits").out()).contains("owner", "site", "demo");
        assertThat(CLUSTER.run("stop", "w1").code()).isZero();
        submission.join(BACKGROUND_TIMEOUT_MILLIS);
        assertThat(CLUSTER.run("why", "w1").out()).contains("task w1 failed");
        CommandResult unknown = CLUSTER.run("why", "w9");
        assertThat(unknown.code()).isEqualTo(3);
        assertThat(unknown.err()).contains("no task w9 of yours");
        assertThat(CLUSTER.run("limits", "--reload").err())
                .contains("not reloaded", "started without a file");
    }

    private static CommandResult awaitPending(String task) throws InterruptedException {
        CommandResult why = CLUSTER.run("why", task);
        for (int i = 0; i < MAX_POLLS && !why.out().contains("waits"); i++) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            why = CLUSTER.run("why", task);
        }
        return why;
    }
}
