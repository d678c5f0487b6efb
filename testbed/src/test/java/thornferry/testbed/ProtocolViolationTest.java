package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static thornferry.testbed.TestCluster.IDEMPOTENT;
import static thornferry.testbed.TestCluster.resultOf;
import static thornferry.testbed.TestCluster.task;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import thornferry.client.TaskClient;

/** A peer that violates the protocol gets an ERROR and is disconnected; others are not affected. */
class ProtocolViolationTest {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    /** More than the site allows to be open at the same time. */
    private static final int IDLE_CONNECTIONS = 200;

    private TestCluster cluster;

    @BeforeEach
    void startCluster() throws Exception {
        cluster = new TestCluster();
    }

    @AfterEach
    void closeCluster() {
        cluster.close();
    }

    /** A frame that violates the protocol, and part of the ERROR that answers it. */
    private record Violation(String frame, String error) {}

    private static final List<Violation> VIOLATIONS =
            List.of(
                    new Violation(
                            "SEND\ndestination:/nowhere\nreceipt:9\n\n^",
                            "unknown destination /nowhere"),
                    new Violation(
                            "SEND\ndestination:/tasks\nreceipt:9\n\nnot json^", "malformed body"),
                    new Violation(
                            "SEND\ndestination:/tasks\nreceipt:9\ncontent-type:text/xml\n\n<a/>^",
                            "unknown content-type"),
                    new Violation(
                            "SEND\ndestination:/tasks\nreceipt:9\n\n"
                                    + "{\"id\":\"x\",\"taskClass\":\"odd\"}^",
                            "taskClass odd"),
                    new Violation(
                            "SEND\ndestination:/nodes/drain\nreceipt:9\n\n"
                                    + "{\"node\":\"n1\",\"on\":true}^",
                            "may not use"),
                    new Violation(
                            "SEND\ndestination:/nodes/register\nreceipt:9\n\n{\"node\":\"n1\"}^",
                            "may not use /nodes/register"),
                    new Violation(
                            "SUBSCRIBE\nid:1\ndestination:/nodes\nreceipt:9\n\n^",
                            "may not use /nodes"),
                    new Violation(
                            "SEND\ndestination:/tasks\ncontent-length:99999999\nreceipt:9\n\nx",
                            "frame too large"),
                    new Violation("FROB\n\n^", "malformed frame"),
                    new Violation("SEND\nreceipt:9\n\n^", "needs the header destination"));

    @Test
    void disconnectsOffenderAndServesOthers() throws Exception {
        cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        for (Violation violation : VIOLATIONS) {
            try (RawStompClient offender = cluster.rawClient("depot2", "two")) {
                offender.send(violation.frame());
                String error = offender.await("ERROR");
                assertThat(error).contains(violation.error());
                offender.awaitClosed();
            }
        }
        assertThat(resultOf(client.submit(task("t", IDEMPOTENT))).getResult()).isEqualTo("placed");
        assertThat(cluster.placer().totals().policyFailures()).isZero();
    }

    @Test
    void rejectsOlderIncarnationOfNodeAndAnswerToOfferOfAnotherNode() throws Exception {
        cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        resultOf(client.submit(task("t", IDEMPOTENT)));
        try (RawStompClient olderIncarnation = cluster.rawClient("node", "n")) {
            register(olderIncarnation, "n1");
            assertThat(olderIncarnation.await("ERROR")).contains("is older than");
        }
        try (RawStompClient otherNode = cluster.rawClient("node", "n")) {
            register(otherNode, "n2");
            Awaitility.await()
                    .atMost(START_TIMEOUT)
                    .untilAsserted(() -> assertThat(cluster.starts()).hasSize(1));
            String attempt = cluster.starts().get(0).attempt();
            otherNode.sendMessage(
                    "/nodes/answers",
                    "{\"node\":\"n2\",\"attempt\":\"" + attempt + "\",\"kind\":\"ENDED\"}");
            assertThat(otherNode.await("ERROR")).contains("was not offered to this node");
        }
        assertThat(cluster.events()).as("events of the task, which runs on").isEmpty();
        assertThat(resultOf(client.submit(task("u", IDEMPOTENT))).getNode()).isEqualTo("n1");
    }

    private static void register(RawStompClient node, String name) throws Exception {
        node.subscribe("/nodes/" + name + "/offers");
        node.sendMessage(
                "/nodes/register",
                """
                {"node":"%s","incarnation":"5","kind":"std","zone":"a","cores":16,"memory":32}\
                """
                        .formatted(name));
    }

    @Test
    void sendsNoReceiptAfterErrorOfRejectedRegistration() throws Exception {
        try (RawStompClient node = cluster.rawClient("node", "n")) {
            node.send(
                    """
                    SUBSCRIBE
                    id:1
                    destination:/nodes/n9/offers

                    ^SEND
                    destination:/nodes/register
                    receipt:7

                    {"node":"n9","kind":"odd","zone":"a"}^\
                    """);
            assertThat(node.next()).startsWith("ERROR").contains("kind odd");
            assertThat(node.next()).isEqualTo(RawStompClient.CLOSED);
        }
    }

    @Test
    void closesConnectionsThatSendNoConnectFrameAndLimitsTheirNumber() throws Exception {
        cluster.startNode("n1", "a");
        TaskClient client = cluster.client("depot1", "one");
        resultOf(client.submit(task("t", IDEMPOTENT)));
        List<RawStompClient> idleConnections = new ArrayList<>();
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            idleConnections.add(cluster.rawConnection());
        }
        for (RawStompClient idleConnection : idleConnections) {
            idleConnection.awaitClosed();
            idleConnection.close();
        }
        assertThat(resultOf(client.submit(task("u", IDEMPOTENT))).getResult()).isEqualTo("placed");
    }

    @Test
    void disconnectsPeerThatMissesItsHeartbeats() throws Exception {
        try (RawStompClient silent = cluster.rawConnection()) {
            silent.send(
                    """
                    CONNECT
                    accept-version:1.2
                    host:h
                    login:depot1
                    passcode:one
                    heart-beat:300,0

                    ^\
                    """);
            silent.await("CONNECTED");
            assertThat(silent.await("ERROR")).contains("silent for longer");
        }
    }
}
