package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.netty.handler.codec.stomp.StompCommand;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.client.TaskClient;
import thornferry.protocol.Bodies;
import thornferry.protocol.ClientConnection;
import thornferry.protocol.Destinations;
import thornferry.protocol.Frame;
import thornferry.protocol.v1.StopTask;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;
import thornferry.protocol.v1.WaitingQuery;
import thornferry.protocol.v1.WaitingTable;
import thornferry.protocol.v1.WhyQuery;

/** No owner learns of another owner's tasks, or affects them. */
class TenantIsolationTest {
    private static final String WAITING = "waiting";
    private static final Duration STATE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration STATE_POLL_INTERVAL = Duration.ofMillis(20);
    private static final long DELIVERY_MILLIS = 200;

    @TempDir Path directory;

    private TlsSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = TlsSite.start(directory);
    }

    @AfterEach
    void closeSite() {
        site.close();
    }

    @Test
    void hidesTasksOfOtherOwners() throws Exception {
        TaskClient owner = submitPendingTask("t1");
        for (ClientConnection.Target other :
                List.of(site.byCertificate("depot2"), site.byPasscode("ops", "o"))) {
            RecordingConnection connection = site.openWithReplies(other);
            assertThat(statusReply(connection, "t1").replace("t1", "T"))
                    .isEqualTo(statusReply(connection, "t9").replace("t9", "T"));
            connection.connection().subscribe("w", Destinations.WAITING, "auto");
            connection.connection().subscribe("r", Destinations.RESULTS, "auto");
            assertThat(stopError(other, "t1").replace("t1", "T"))
                    .isEqualTo(stopError(other, "t9").replace("t9", "T"));
            Thread.sleep(DELIVERY_MILLIS);
            assertThat(connection.frames()).as("frames about another owner's task").isEmpty();
        }
        RecordingConnection otherOwner = site.openWithReplies(site.byCertificate("depot2"));
        WaitingTable table =
                Bodies.read(
                        otherOwner.query(Destinations.WAITING, WaitingQuery.getDefaultInstance()),
                        WaitingTable.getDefaultInstance());
        assertThat(table.getWaiting()).isZero();
        assertThat(state(owner, "t1")).as("nobody stopped it").isEqualTo(WAITING);
    }

    @Test
    void distinguishesTasksOfSameIdByOwner() throws Exception {
        TaskClient owner = submitPendingTask("t1");
        TaskClient otherOwner = site.client(site.byCertificate("depot2"));
        Task sameId = TlsSite.task("t1").toBuilder().setCores(2).setPatienceMs(300).build();
        TaskNews result = otherOwner.submit(sameId).get(10, TimeUnit.SECONDS);
        assertThat(result.getResult()).isEqualTo("refused");
        assertThat(state(owner, "t1")).isEqualTo(WAITING);
    }

    /** Submits a task of depot1, which is pending since the site has no nodes. */
    private TaskClient submitPendingTask(String id) throws Exception {
        TaskClient owner = site.client(site.byCertificate("depot1"));
        owner.submit(TlsSite.task(id));
        await().atMost(STATE_TIMEOUT)
                .pollInterval(STATE_POLL_INTERVAL)
                .untilAsserted(() -> assertThat(state(owner, id)).isEqualTo(WAITING));
        return owner;
    }

    private static String statusReply(RecordingConnection connection, String task)
            throws Exception {
        return connection
                .query(Destinations.WHY, WhyQuery.newBuilder().setTask(task).build())
                .text();
    }

    /** The error on a new connection that tries to stop a task. */
    private String stopError(ClientConnection.Target target, String task) throws Exception {
        RecordingConnection connection = site.openWithReplies(target);
        connection
                .connection()
                .request(Destinations.STOP, StopTask.newBuilder().setId(task).build(), error -> {});
        return connection.closeReason();
    }

    /** The state of a task; empty while the client is not connected. */
    private static String state(TaskClient client, String task) throws Exception {
        return client.why(task)
                .handle((why, error) -> error == null ? why.getState() : "")
                .get(10, TimeUnit.SECONDS);
    }

    @Test
    void rejectsSubscriptionsToPatternsAndOtherOwnersDestinations() throws Exception {
        for (String destination :
                List.of(
                        "/tasks/*",
                        "/tasks/>",
                        "/tasks/results/depot1",
                        "/tasks/waiting/../results",
                        "/nodes",
                        "/nodes/n1/offers",
                        "/tasks/waiting/depot1")) {
            RecordingConnection connection = openOtherOwner();
            connection.connection().subscribe("p", destination, "auto");
            assertThat(connection.closeReason())
                    .containsAnyOf("unknown destination", "may not use");
        }
    }

    @Test
    void sendsRepliesToQueryingConnectionOnly() throws Exception {
        RecordingConnection owner = site.openWithReplies(site.byCertificate("depot1"));
        RecordingConnection sameReplyDestination = openOtherOwner();
        statusReply(owner, "t");
        assertThat(sameReplyDestination.frames())
                .as("replies to another connection's destination of the same name")
                .isEmpty();
        RecordingConnection notSubscribed = openOtherOwner();
        Frame query =
                Frame.of(
                                StompCommand.SEND,
                                "destination",
                                Destinations.WHY,
                                "reply-to",
                                "/replies/other")
                        .withBody(Bodies.JSON, "{\"task\":\"t\"}".getBytes(StandardCharsets.UTF_8));
        notSubscribed.connection().request(query, error -> {});
        assertThat(notSubscribed.closeReason()).contains("reply-to must name");
    }

    @Test
    void rejectsAckOfMessageThatWasNotSent() throws Exception {
        RecordingConnection connection = openOtherOwner();
        connection.connection().write(Frame.of(StompCommand.ACK, "id", "0-1"));
        assertThat(connection.closeReason()).contains("no message waits");
    }

    @Test
    void rejectsReloadByOwner() throws Exception {
        RecordingConnection connection = openOtherOwner();
        connection
                .connection()
                .write(Frame.of(StompCommand.SEND, "destination", Destinations.RELOAD));
        assertThat(connection.closeReason()).contains("may not use /placer/reload");
    }

    private RecordingConnection openOtherOwner() throws Exception {
        return site.openWithReplies(site.byCertificate("depot2"));
    }
}
