package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static thornferry.testbed.TestCluster.IDEMPOTENT;
import static thornferry.testbed.TestCluster.IDEMPOTENT_WITH_KEY;
import static thornferry.testbed.TestCluster.NON_IDEMPOTENT;
import static thornferry.testbed.TestCluster.resultOf;
import static thornferry.testbed.TestCluster.task;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.stomp.StompClient;
import io.vertx.ext.stomp.StompClientConnection;
import io.vertx.ext.stomp.StompClientOptions;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.awaitility.core.ThrowingRunnable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import thornferry.agent.NodeAgent;
import thornferry.client.TaskClient;
import thornferry.protocol.v1.TaskNews;

/** The whole path from client to node on loopback, with faults of each of the parties. */
class FullPathTest {
    private static final Duration EVENT_TIMEOUT = Duration.ofSeconds(20);
    private static final long REPLY_TIMEOUT_SECONDS = 10;

    private TestCluster cluster;

    @AfterEach
    void closeCluster() {
        cluster.close();
    }

    private static void eventually(ThrowingRunnable assertion) {
        Awaitility.await().atMost(EVENT_TIMEOUT).untilAsserted(assertion);
    }

    private void assertEventsAreEventually(String... events) {
        eventually(
                () ->
                        assertThat(cluster.events())
                                .extracting(TaskNews::getEvent)
                                .containsExactly(events));
    }

    private void assertStartsAreEventually(int count) {
        eventually(() -> assertThat(cluster.starts()).hasSize(count));
    }

    private static String taskJson(String id, String taskClass) {
        return """
        {"id":"%s","taskClass":"%s","service":"s","cores":1,"memory":1}\
        """
                .formatted(id, taskClass);
    }

    @Test
    void placesRunsAndStopsTask() throws Exception {
        cluster = new TestCluster();
        cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        TaskNews result = resultOf(client.submit(task("t", IDEMPOTENT)));
        assertThat(result.getResult()).isEqualTo("placed");
        assertThat(result.getNode()).isEqualTo("n1");
        assertStartsAreEventually(1);
        client.stop("t").get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEventsAreEventually("stopped");
    }

    @Test
    void servesThirdPartyStompClient() throws Exception {
        cluster = new TestCluster();
        cluster.startNode("n1", "a");
        Vertx vertx = Vertx.vertx();
        try {
            StompClientOptions options =
                    new StompClientOptions()
                            .setHost("127.0.0.1")
                            .setPort(cluster.address().getPort())
                            .setLogin("depot1")
                            .setPasscode("one");
            StompClientConnection connection =
                    completed(StompClient.create(vertx, options).connect());
            CompletableFuture<Map<String, String>> resultHeaders = new CompletableFuture<>();
            completed(
                    connection.subscribe(
                            "/tasks/results", frame -> resultHeaders.complete(frame.getHeaders())));
            // completes with the receipt
            completed(
                    connection.send(
                            "/tasks",
                            new HashMap<>(Map.of("content-type", "application/json")),
                            Buffer.buffer(
                                    """
                                    {"id":"v1","taskClass":"idempotent","service":"s",\
                                    "cores":1,"memory":1,"patienceMs":2000}\
                                    """)));
            assertThat(resultHeaders.get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .containsEntry("task", "v1")
                    .containsEntry("result", "placed")
                    .containsEntry("node", "n1");
        } finally {
            completed(vertx.close());
        }
    }

    private static <T> T completed(Future<T> future) throws Exception {
        return future.toCompletionStage()
                .toCompletableFuture()
                .get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void deliversResultOnAnotherConnectionIfClientVanishes() throws Exception {
        cluster = new TestCluster();
        cluster.startNode("n1", "a");
        // closed without a subscription to results
        try (RawStompClient first = cluster.rawClient("depot1", "one")) {
            first.sendMessage("/tasks", taskJson("t", NON_IDEMPOTENT), "receipt:1");
            first.await("RECEIPT");
        }
        try (RawStompClient second = cluster.rawClient("depot1", "one");
                RawStompClient otherOwner = cluster.rawClient("depot2", "two")) {
            otherOwner.subscribe("/tasks/results");
            second.subscribe("/tasks/results");
            assertThat(second.await("task:t")).contains("result:placed").doesNotContain("repeat:");
            second.sendMessage("/tasks", taskJson("t", NON_IDEMPOTENT));
            assertThat(second.await("task:t")).contains("result:placed").contains("repeat:true");
            // the same error as for a task that does not exist
            otherOwner.sendMessage("/tasks/stop", "{\"id\":\"t\"}");
            assertThat(otherOwner.await("ERROR")).contains("no task t of yours");
        }
        assertStartsAreEventually(1);
    }

    @Test
    void redeliversResultUntilAcknowledged() throws Exception {
        cluster = new TestCluster();
        cluster.startNode("n1", "a");
        try (RawStompClient first = cluster.rawClient("depot1", "one")) {
            first.subscribe("/tasks/results", "ack:client-individual");
            first.sendMessage("/tasks", taskJson("t", IDEMPOTENT));
            first.await("result:placed");
        }
        try (RawStompClient second = cluster.rawClient("depot1", "one")) {
            second.subscribe("/tasks/results", "ack:client-individual");
            String ackId = header("ack", second.await("result:placed"));
            second.send("ACK\nid:" + ackId + "\nreceipt:a\n\n^");
            second.await("RECEIPT");
        }
        try (RawStompClient third = cluster.rawClient("depot1", "one")) {
            third.subscribe("/tasks/results", "receipt:s");
            assertThat(third.framesUntil("RECEIPT")).noneMatch(frame -> frame.contains("result:"));
            third.sendMessage("/tasks/stop", "{\"id\":\"t\"}", "receipt:x");
            assertThat(third.framesUntil("event:stopped"))
                    .as("no result before the event")
                    .noneMatch(frame -> frame.contains("result:"));
        }
    }

    private static String header(String name, String frame) {
        String start = name + ":";
        return frame.lines()
                .filter(line -> line.startsWith(start))
                .findFirst()
                .orElseThrow()
                .substring(start.length());
    }

    @Test
    void startsTaskWithKeyAtMostOnceIfAnswersAreLost() throws Exception {
        cluster = new TestCluster();
        NodeAgent node1 = cluster.startNode("n1", "a");
        NodeAgent node2 = cluster.startNode("n2", "a");
        // whichever node accepts the task, the placer does not learn of it
        node1.dropAnswers(1);
        node2.dropAnswers(1);
        TaskClient client = cluster.client("depot1", "one");
        TaskNews result = resultOf(client.submit(task("t", IDEMPOTENT_WITH_KEY)));
        // not rejected, which would promise that it never ran
        assertThat(result.getResult()).isEqualTo("failed");
        assertThat(cluster.starts()).hasSizeLessThanOrEqualTo(1);
    }

    @Test
    void startsNonIdempotentTaskOnceIfConnectionBreaks() throws Exception {
        cluster = new TestCluster();
        List<NodeAgent> nodes = List.of(cluster.startNode("n1", "a"), cluster.startNode("n2", "a"));
        nodes.forEach(node -> node.pause(400));
        TaskClient client = cluster.client("depot1", "one");
        CompletableFuture<TaskNews> result = client.submit(task("t", NON_IDEMPOTENT));
        Thread.sleep(150); // one of the nodes has the offer and has not read it
        nodes.forEach(NodeAgent::breakConnections);
        // after the reconnect with the same incarnation, the node's inventory proves that the task
        // never ran, so that it is offered again
        assertThat(resultOf(result).getResult()).isEqualTo("placed");
        assertStartsAreEventually(1);
    }

    @Test
    void doesNotRestartRunningTaskAfterPlacerRestart() throws Exception {
        Duration settleTime = Duration.ofMillis(1_500);
        cluster = new TestCluster(settleTime);
        cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        Thread.sleep(settleTime.plusMillis(100).toMillis());
        assertThat(resultOf(client.submit(task("t", NON_IDEMPOTENT))).getResult())
                .isEqualTo("placed");
        assertStartsAreEventually(1);
        cluster.restartPlacer();
        TaskNews retryResult = resultOf(client.submit(task("t", NON_IDEMPOTENT)));
        assertThat(retryResult.getResult()).isEqualTo("placed");
        assertThat(retryResult.getNode()).isEqualTo("n1");
        assertThat(cluster.starts()).hasSize(1);
        // the restarted placer manages the task
        client.stop("t").get(REPLY_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        eventually(
                () ->
                        assertThat(cluster.events())
                                .extracting(TaskNews::getEvent)
                                .contains("stopped"));
    }

    @Test
    void reportsTasksOfCrashedNodeAsLost() throws Exception {
        cluster = new TestCluster();
        NodeAgent node = cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        resultOf(client.submit(task("t", IDEMPOTENT)));
        node.crash(300);
        assertEventsAreEventually("lost");
        cluster.awaitListed("n1");
        // a new request under the same id
        assertThat(resultOf(client.submit(task("t", IDEMPOTENT))).getResult()).isEqualTo("placed");
    }

    @Test
    void evictsTasksOfDrainingNodeAndOffersItNoMore() throws Exception {
        cluster = new TestCluster();
        cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        resultOf(client.submit(task("t", IDEMPOTENT)));
        try (RawStompClient operator = cluster.rawClient("ops", "o")) {
            operator.sendMessage("/nodes/drain", "{\"node\":\"n1\",\"on\":true}", "receipt:1");
            operator.await("RECEIPT");
            assertEventsAreEventually("evicted");
            assertThat(resultOf(client.submit(task("u", IDEMPOTENT))).getResult())
                    .isEqualTo("refused");
            operator.sendMessage("/nodes/drain", "{\"node\":\"n1\",\"on\":false}", "receipt:2");
            operator.await("RECEIPT");
            assertThat(resultOf(client.submit(task("w", IDEMPOTENT))).getResult())
                    .isEqualTo("placed");
        }
    }

    @Test
    void failsRequestsOfClientWithWrongPasscode() throws Exception {
        cluster = new TestCluster();
        TaskClient client = cluster.client("depot1", "wrong");
        assertThatThrownBy(() -> resultOf(client.submit(task("t", IDEMPOTENT))))
                .hasRootCauseInstanceOf(TaskClient.RequestNotAcceptedException.class)
                .hasMessageContaining("not accepted");
    }
}
