package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.stomp.StompClient;
import io.vertx.ext.stomp.StompClientConnection;
import io.vertx.ext.stomp.StompClientOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import thornferry.agent.NodeAgent;
import thornferry.client.TaskClient;
import thornferry.protocol.v1.TaskNews;

/** The whole path on loopback, under the very failures that it must bear. */
class FullPathTest {
    private TestCluster rig;

    @AfterEach
    void end() throws Exception {
        rig.close();
    }

    private static TaskNews get(CompletableFuture<TaskNews> result) throws Exception {
        return result.get(20, TimeUnit.SECONDS);
    }

    private void eventually(org.awaitility.core.ThrowingRunnable what) {
        await().atMost(Duration.ofSeconds(20)).untilAsserted(what);
    }

    @Test
    void aTaskIsPlacedRunsAndIsStopped() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        TaskNews placed = get(client.submit(TestCluster.task("t", "gauge-relay")));
        assertThat(placed.getResult()).isEqualTo("placed");
        assertThat(placed.getNode()).isEqualTo("n1");
        eventually(() -> assertThat(rig.starts).hasSize(1));
        client.stop("t").get(10, TimeUnit.SECONDS);
        eventually(
                () ->
                        assertThat(rig.events)
                                .extracting(TaskNews::getEvent)
                                .containsExactly("stopped"));
    }

    @Test
    void aStompClientThatNobodyHereWroteWorksUnmodified() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        Vertx vertx = Vertx.vertx();
        try {
            StompClient client =
                    StompClient.create(
                            vertx,
                            new StompClientOptions()
                                    .setHost("127.0.0.1")
                                    .setPort(rig.port)
                                    .setLogin("depot1")
                                    .setPasscode("one"));
            StompClientConnection c =
                    client.connect()
                            .toCompletionStage()
                            .toCompletableFuture()
                            .get(10, TimeUnit.SECONDS);
            CompletableFuture<Map<String, String>> result = new CompletableFuture<>();
            c.subscribe("/tasks/results", frame -> result.complete(frame.getHeaders()))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS);
            c.send(
                            "/tasks",
                            new HashMap<>(Map.of("content-type", "application/json")),
                            Buffer.buffer(
                                    """
                                    {"id":"v1","taskClass":"gauge-relay","service":"s","cores":1,"memory":1,"patienceMs":2000}\
                                    """))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS); // its receipt
            assertThat(result.get(10, TimeUnit.SECONDS))
                    .containsEntry("task", "v1")
                    .containsEntry("result", "placed")
                    .containsEntry("node", "n1");
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    void aClientThatVanishesAfterItsSendFindsItsOneResultOnAnotherConnection() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        try (TestCluster.Peer first = rig.peer("depot1", "one")) {
            first.send(
                    "SEND\n"
                        + "destination:/tasks\n"
                        + "receipt:1\n\n"
                        + "{\"id\":\"t\",\"taskClass\":\"levy-run\",\"service\":\"s\",\"cores\":1,\"memory\":1}^");
            first.await("RECEIPT");
        } // it never subscribed, and is gone
        try (TestCluster.Peer second = rig.peer("depot1", "one");
                TestCluster.Peer other = rig.peer("depot2", "two")) {
            other.send("SUBSCRIBE\nid:1\ndestination:/tasks/results\n\n^");
            second.send("SUBSCRIBE\nid:1\ndestination:/tasks/results\n\n^");
            assertThat(second.await("task:t")).contains("result:placed").doesNotContain("repeat:");
            second.send(
                    "SEND\n"
                        + "destination:/tasks\n\n"
                        + "{\"id\":\"t\",\"taskClass\":\"levy-run\",\"service\":\"s\",\"cores\":1,\"memory\":1}^");
            assertThat(second.await("task:t")).contains("result:placed").contains("repeat:true");
            // another owner's stop gets the answer that a task which does not exist gets
            other.send("SEND\ndestination:/tasks/stop\n\n{\"id\":\"t\"}^");
            assertThat(other.await("ERROR")).contains("no task t of yours");
        }
        eventually(() -> assertThat(rig.starts).hasSize(1));
    }

    @Test
    void anUnacknowledgedResultComesAgain() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        try (TestCluster.Peer first = rig.peer("depot1", "one")) {
            first.send("SUBSCRIBE\nid:1\ndestination:/tasks/results\nack:client-individual\n\n^");
            first.send(
                    "SEND\n"
                        + "destination:/tasks\n\n"
                        + "{\"id\":\"t\",\"taskClass\":\"gauge-relay\",\"service\":\"s\",\"cores\":1,\"memory\":1}^");
            first.await("result:placed");
        }
        try (TestCluster.Peer second = rig.peer("depot1", "one")) {
            second.send("SUBSCRIBE\nid:1\ndestination:/tasks/results\nack:client-individual\n\n^");
            String message = second.await("result:placed");
            String ack =
                    message.lines()
                            .filter(l -> l.startsWith("ack:"))
                            .findFirst()
                            .orElseThrow()
                            .substring(4);
            second.send("ACK\nid:" + ack + "\nreceipt:a\n\n^");
            second.await("RECEIPT");
        }
        try (TestCluster.Peer third = rig.peer("depot1", "one")) {
            third.send("SUBSCRIBE\nid:1\ndestination:/tasks/results\nreceipt:s\n\n^");
            assertThat(third.await("RECEIPT")).isNotNull();
            third.send("SEND\ndestination:/tasks/stop\nreceipt:x\n\n{\"id\":\"t\"}^");
            assertThat(third.await("event:stopped")).isNotNull(); // and no result before it
        }
    }

    @Test
    void aDepotSyncResentToAnotherNodeOfItsHallStartsOnce() throws Exception {
        rig = new TestCluster();
        NodeAgent n1 = rig.node("n1", "a");
        NodeAgent n2 = rig.node("n2", "a");
        n1.dropAnswers(1);
        n2.dropAnswers(1); // whoever takes it: the placer never hears that it was accepted
        TaskClient client = rig.client("depot1", "one");
        TaskNews news = get(client.submit(TestCluster.task("t", "depot-sync")));
        assertThat(news.getResult())
                .isEqualTo("failed"); // it may have run outside what a refusal promises
        assertThat(rig.starts).hasSizeLessThanOrEqualTo(1);
    }

    @Test
    void anUnsafeTaskWhoseConnectionBreaksIsNeverStartedTwice() throws Exception {
        rig = new TestCluster();
        List<NodeAgent> nodes = List.of(rig.node("n1", "a"), rig.node("n2", "a"));
        nodes.forEach(n -> n.pause(400));
        TaskClient client = rig.client("depot1", "one");
        CompletableFuture<TaskNews> result = client.submit(TestCluster.task("t", "levy-run"));
        Thread.sleep(150); // the offer lies unread at one of them
        nodes.forEach(NodeAgent::breakConnections);
        // back in the same life, its inventory proves that it never ran: the task is offered to the
        // other
        assertThat(get(result).getResult()).isEqualTo("placed");
        eventually(() -> assertThat(rig.starts).hasSize(1));
    }

    @Test
    void whatRunsOutlastsThePlacerAndIsNotStartedAgain() throws Exception {
        rig = new TestCluster(1_500);
        rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        Thread.sleep(1_600); // unsafe work waits after a start until nodes have told what runs
        assertThat(get(client.submit(TestCluster.task("t", "levy-run"))).getResult())
                .isEqualTo("placed");
        eventually(() -> assertThat(rig.starts).hasSize(1));
        rig.restart();
        TaskNews again = get(client.submit(TestCluster.task("t", "levy-run")));
        assertThat(again.getResult()).isEqualTo("placed");
        assertThat(again.getNode()).isEqualTo("n1");
        assertThat(rig.starts).hasSize(1);
        client.stop("t").get(10, TimeUnit.SECONDS); // and it is this life's to look after
        eventually(() -> assertThat(rig.events).extracting(TaskNews::getEvent).contains("stopped"));
    }

    @Test
    void aNodeThatDiesLosesItsTasksOnceItIsBackOrGone() throws Exception {
        rig = new TestCluster();
        NodeAgent node = rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        get(client.submit(TestCluster.task("t", "gauge-relay")));
        node.crash(300);
        eventually(
                () ->
                        assertThat(rig.events)
                                .extracting(TaskNews::getEvent)
                                .containsExactly("lost"));
        rig.eventuallyOnline("n1");
        assertThat(get(client.submit(TestCluster.task("t", "gauge-relay"))).getResult())
                .isEqualTo("placed"); // asked anew
    }

    @Test
    void aDrainedNodeGetsNothingMoreAndSendsAwayWhatItRuns() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        get(client.submit(TestCluster.task("t", "gauge-relay")));
        try (TestCluster.Peer ops = rig.peer("ops", "o")) {
            ops.send("SEND\ndestination:/nodes/drain\nreceipt:1\n\n{\"node\":\"n1\",\"on\":true}^");
            ops.await("RECEIPT");
            eventually(
                    () ->
                            assertThat(rig.events)
                                    .extracting(TaskNews::getEvent)
                                    .containsExactly("evicted"));
            assertThat(get(client.submit(TestCluster.task("u", "gauge-relay"))).getResult())
                    .isEqualTo("refused");
            ops.send(
                    "SEND\ndestination:/nodes/drain\nreceipt:2\n\n{\"node\":\"n1\",\"on\":false}^");
            ops.await("RECEIPT");
            assertThat(get(client.submit(TestCluster.task("w", "gauge-relay"))).getResult())
                    .isEqualTo("placed");
        }
    }

    @Test
    void theGuiltyPeerGetsAnErrorAndNothingIsLostForOthers() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        String[][] bad = {
            {"SEND\ndestination:/nowhere\nreceipt:9\n\n^", "unknown destination /nowhere"},
            {"SEND\ndestination:/tasks\nreceipt:9\n\nnot json^", "malformed body"},
            {
                "SEND\ndestination:/tasks\nreceipt:9\ncontent-type:text/xml\n\n<a/>^",
                "unknown content-type"
            },
            {
                "SEND\ndestination:/tasks\nreceipt:9\n\n{\"id\":\"x\",\"taskClass\":\"odd\"}^",
                "taskClass odd"
            },
            {
                "SEND\ndestination:/nodes/drain\nreceipt:9\n\n{\"node\":\"n1\",\"on\":true}^",
                "may not use"
            },
            {
                "SEND\ndestination:/nodes/register\nreceipt:9\n\n{\"node\":\"n1\"}^",
                "may not use /nodes/register"
            },
            {"SUBSCRIBE\nid:1\ndestination:/nodes\nreceipt:9\n\n^", "may not use /nodes"},
            {
                "SEND\ndestination:/tasks\ncontent-length:99999999\nreceipt:9\n\nx",
                "frame too large"
            },
            {"FROB\n\n^", "malformed frame"},
            {"SEND\nreceipt:9\n\n^", "needs the header destination"},
        };
        for (String[] each : bad) {
            try (TestCluster.Peer peer = rig.peer("depot2", "two")) {
                peer.send(each[0]);
                String error = peer.await("ERROR");
                assertThat(error).contains(each[1]);
                peer.await("END");
            }
        }
        assertThat(get(client.submit(TestCluster.task("t", "gauge-relay"))).getResult())
                .isEqualTo("placed");
        assertThat(rig.placer.totals().policyFailures()).isZero();
    }

    @Test
    void aSecondNodeOfTheSameNameAndOneThatAnswersWhatItNeverGotAreTheGuilty() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        get(client.submit(TestCluster.task("t", "gauge-relay")));
        String attempt = rig.starts.isEmpty() ? "" : rig.starts.get(0).split(" ")[1];
        try (TestCluster.Peer old = rig.peer("node", "n")) {
            old.send(
                    "SUBSCRIBE\n"
                            + "id:1\n"
                            + "destination:/nodes/n1/offers\n\n"
                            + "^SEND\n"
                            + "destination:/nodes/register\n\n"
                            + "{\"node\":\"n1\",\"incarnation\":\"5\",\"kind\":\"std\","
                            + "\"zone\":\"a\",\"cores\":16,\"memory\":32}^");
            assertThat(old.await("ERROR")).contains("is older than");
        }
        try (TestCluster.Peer liar = rig.peer("node", "n")) {
            liar.send(
                    "SUBSCRIBE\n"
                            + "id:1\n"
                            + "destination:/nodes/n2/offers\n\n"
                            + "^SEND\n"
                            + "destination:/nodes/register\n\n"
                            + "{\"node\":\"n2\",\"incarnation\":\"5\",\"kind\":\"std\","
                            + "\"zone\":\"a\",\"cores\":16,\"memory\":32}^");
            eventually(() -> assertThat(rig.starts).hasSize(1));
            attempt = rig.starts.get(0).split(" ")[1];
            liar.send(
                    "SEND\ndestination:/nodes/answers\n\n{\"node\":\"n2\",\"attempt\":\""
                            + attempt
                            + "\",\"kind\":\"ENDED\"}^");
            assertThat(liar.await("ERROR")).contains("was not offered to this node");
        }
        assertThat(rig.events).isEmpty(); // the task runs on
        assertThat(get(client.submit(TestCluster.task("u", "gauge-relay"))).getNode())
                .isEqualTo("n1");
    }

    @Test
    void aRegistrationThatIsTurnedAwayGetsNoReceiptAfterItsError() throws Exception {
        rig = new TestCluster();
        try (TestCluster.Peer node = rig.peer("node", "n")) {
            node.send(
                    "SUBSCRIBE\n"
                            + "id:1\n"
                            + "destination:/nodes/n9/offers\n\n"
                            + "^SEND\n"
                            + "destination:/nodes/register\n"
                            + "receipt:7\n\n"
                            + "{\"node\":\"n9\",\"kind\":\"odd\",\"zone\":\"a\"}^");
            assertThat(node.next()).startsWith("ERROR").contains("kind odd");
            assertThat(node.next()).isEqualTo("END");
        }
    }

    @Test
    void connectionsThatNeverConnectAreCutOffAndAreBounded() throws Exception {
        rig = new TestCluster();
        rig.node("n1", "a");
        TaskClient client = rig.client("depot1", "one");
        get(client.submit(TestCluster.task("t", "gauge-relay")));
        List<TestCluster.Peer> idle = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            idle.add(rig.new Peer());
        }
        for (TestCluster.Peer peer : idle) {
            peer.await("END");
            peer.close();
        }
        assertThat(get(client.submit(TestCluster.task("u", "gauge-relay"))).getResult())
                .isEqualTo("placed");
    }

    @Test
    void aSilentPeerIsDeadToUs() throws Exception {
        rig = new TestCluster();
        try (TestCluster.Peer peer = rig.new Peer()) {
            peer.send(
                    "CONNECT\n"
                            + "accept-version:1.2\n"
                            + "host:h\n"
                            + "login:depot1\n"
                            + "passcode:one\n"
                            + "heart-beat:300,0\n\n"
                            + "^");
            peer.await("CONNECTED");
            assertThat(peer.await("ERROR")).contains("silent for longer");
        }
    }

    @Test
    void aWrongPasscodeEndsTheClientsAsks() throws Exception {
        rig = new TestCluster();
        TaskClient client = rig.client("depot1", "wrong");
        assertThatThrownBy(() -> get(client.submit(TestCluster.task("t", "gauge-relay"))))
                .hasRootCauseInstanceOf(TaskClient.RequestNotAcceptedException.class)
                .hasMessageContaining("not accepted");
    }
}
