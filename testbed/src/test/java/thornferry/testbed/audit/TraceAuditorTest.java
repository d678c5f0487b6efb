package thornferry.testbed.audit;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.testbed.audit.TraceAuditor.Violation;

/** A clean capture has no violations; changed in one place, it has exactly that one. */
class TraceAuditorTest {
    private static final long MICROS_PER_MILLI = 1_000;

    @TempDir Path folder;
    private final List<String> lines = new ArrayList<>();

    private void addRow(long millis, String rest) {
        lines.add("{\"t\":" + millis * MICROS_PER_MILLI + "," + rest + "}");
    }

    private static String frame(
            int connection, String direction, String command, String headers, String body) {
        return "\"k\":\"frame\",\"link\":"
                + connection
                + ",\"placer\":\"p\",\"dir\":\""
                + direction
                + "\",\"cmd\":\""
                + command
                + "\",\"h\":{"
                + headers
                + "},\"b\":"
                + body;
    }

    private static String send(int connection, String destination, String body) {
        return frame(
                connection,
                "up",
                "SEND",
                "\"destination\":\"" + destination + "\",\"receipt\":\"r" + body.hashCode() + "\"",
                body);
    }

    private static String request(String id, String taskClass) {
        return send(
                1,
                "/tasks",
                "{\"id\":\""
                        + id
                        + "\",\"taskClass\":\""
                        + taskClass
                        + "\",\"service\":\"s\",\"key\":\"k-"
                        + id
                        + "\",\"patienceMs\":\"2000\"}");
    }

    private static String result(int number, String id, String result) {
        return frame(
                1,
                "down",
                "MESSAGE",
                "\"destination\":\"/tasks/results\",\"message-id\":\"n"
                        + number
                        + "\",\"task\":\""
                        + id
                        + "\",\"result\":\""
                        + result
                        + "\"",
                "{}");
    }

    private static String offer(String node, String attempt, String id, String taskClass) {
        return frame(
                node.equals("a1") ? 2 : 3,
                "down",
                "MESSAGE",
                "\"destination\":\"/nodes/" + node + "/offers\"",
                "{\"offer\":{\"attempt\":\""
                        + attempt
                        + "\",\"owner\":\"o\",\"task\":{\"id\":\""
                        + id
                        + "\",\"taskClass\":\""
                        + taskClass
                        + "\",\"service\":\"s\",\"key\":\"k-"
                        + id
                        + "\"}}}");
    }

    private static String report(String node, String attempt, String kind) {
        return send(
                node.equals("a1") ? 2 : 3,
                "/nodes/answers",
                "{\"node\":\""
                        + node
                        + "\",\"attempt\":\""
                        + attempt
                        + "\",\"kind\":\""
                        + kind
                        + "\"}");
    }

    private static String register(int connection, String node, String zone, long uptimeMs) {
        return send(
                connection,
                "/nodes/register",
                "{\"node\":\""
                        + node
                        + "\",\"incarnation\":\"1\",\"zone\":\""
                        + zone
                        + "\",\"uptimeMs\":\""
                        + uptimeMs
                        + "\"}");
    }

    @BeforeEach
    void writeCleanCapture() {
        addRow(
                0,
                "\"k\":\"site\",\"rules\":{\"answerGrace\":8000,\"drainGrace\":500000,\"ramp\":10000000,"
                    + "\"coldFrom\":0.25,\"coldMultiple\":2,\"coldWindow\":3000000,\"coldOffers\":2,\"startsPerSecond\":0.1},"
                    + "\"classes\":["
                    + "{\"name\":\"safe\",\"effect\":\"SAFE\",\"keyScope\":\"ALL\",\"deadline\":8000000,\"spread\":\"NONE\"},"
                    + "{\"name\":\"keyed\",\"effect\":\"KEYED\",\"keyScope\":\"ZONE\",\"keyWindow\":5000000,"
                    + "\"deadline\":8000000,\"spread\":\"NONE\"},"
                    + "{\"name\":\"unsafe\",\"effect\":\"UNSAFE\",\"keyScope\":\"ALL\",\"deadline\":8000000,"
                    + "\"spread\":\"NONE\"},"
                    + "{\"name\":\"wide\",\"effect\":\"SAFE\",\"keyScope\":\"ALL\",\"deadline\":8000000,\"spread\":\"ZONE\","
                    + "\"spreadMost\":1}]");
        for (int connection = 1; connection <= 4; connection++) {
            addRow(1, "\"k\":\"open\",\"link\":" + connection + ",\"placer\":\"p\"");
            addRow(
                    1,
                    frame(
                            connection,
                            "up",
                            "CONNECT",
                            "\"login\":\"" + (connection == 1 ? "o" : "x") + "\"",
                            "{}"));
        }
        addRow(
                2,
                frame(
                        1,
                        "up",
                        "SUBSCRIBE",
                        "\"id\":\"1\",\"destination\":\"/tasks/results\"",
                        "{}"));
        addRow(3, register(2, "a1", "a", 3_600_000));
        addRow(3, register(3, "b1", "b", 3_600_000));
        addRow(10, request("t1", "unsafe"));
        addRow(11, offer("a1", "x1", "t1", "unsafe"));
        addRow(12, report("a1", "x1", "REFUSED"));
        addRow(13, offer("b1", "x2", "t1", "unsafe"));
        addRow(14, report("b1", "x2", "ACCEPTED"));
        addRow(15, result(1, "t1", "placed"));
        addRow(20, report("b1", "x2", "RUNS"));
        addRow(30, request("t2", "keyed"));
        addRow(31, offer("a1", "x3", "t2", "keyed"));
        addRow(32, report("a1", "x3", "ACCEPTED"));
        addRow(33, result(2, "t2", "placed"));
        addRow(34, report("a1", "x3", "RUNS"));
        addRow(40, request("t3", "wide"));
        addRow(41, offer("a1", "x4", "t3", "wide"));
        addRow(42, report("a1", "x4", "ACCEPTED"));
        addRow(43, result(3, "t3", "placed"));
        addRow(50, request("t4", "safe"));
        addRow(51, offer("a1", "x5", "t4", "safe"));
        addRow(52, report("a1", "x5", "REFUSED"));
        addRow(2_040, result(4, "t4", "refused"));
        addRow(60_000, "\"k\":\"mark\",\"what\":\"end\"");
    }

    /** Index of the only line that contains {@code part}. */
    private int indexOf(String part) {
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).contains(part)) {
                found.add(i);
            }
        }
        assertThat(found).as(part).hasSize(1);
        return found.get(0);
    }

    /** Inserts a line after the only one that contains {@code part}, with the same time. */
    private void insertAfter(String part, String rest) {
        int index = indexOf(part);
        String time = lines.get(index).substring(5, lines.get(index).indexOf(','));
        lines.add(index + 1, "{\"t\":" + time + "," + rest + "}");
    }

    /** Replaces {@code part} in the last line that contains it. */
    private void replace(String part, String replacement) {
        int index = -1;
        for (int i = 0; i < lines.size(); i++) {
            index = lines.get(i).contains(part) ? i : index;
        }
        lines.set(index, lines.get(index).replace(part, replacement));
    }

    private List<Violation> audit() throws IOException {
        Path file = folder.resolve("capture.jsonl");
        Files.write(file, lines);
        return TraceAuditor.audit(file, 250 * MICROS_PER_MILLI).violations();
    }

    private void assertOnlyViolation(int rule, String description) throws IOException {
        assertThat(audit())
                .singleElement()
                .satisfies(
                        violation -> {
                            assertThat(violation.rule()).isEqualTo(rule);
                            assertThat(violation.description()).contains(description);
                            assertThat(violation.line()).isPositive();
                        });
    }

    @Test
    void acceptsCleanCapture() throws IOException {
        assertThat(audit()).isEmpty();
    }

    @Test
    void reportsMissingResult() throws IOException {
        lines.remove(indexOf("\"message-id\":\"n4\""));
        assertOnlyViolation(1, "task t4 of o at p never had a result");
    }

    @Test
    void reportsLateResult() throws IOException {
        replace("\"t\":2040000", "\"t\":2500000");
        assertOnlyViolation(1, "too late");
    }

    @Test
    void reportsTwoResultsForOneRequest() throws IOException {
        insertAfter("\"message-id\":\"n1\"", result(9, "t1", "placed"));
        assertOnlyViolation(1, "2 results for 1 asks");
    }

    @Test
    void reportsOfferAfterResult() throws IOException {
        lines.add(
                indexOf("\"message-id\":\"n4\"") + 1,
                "{\"t\":4000000," + offer("b1", "x9", "t4", "safe") + "}");
        assertOnlyViolation(1, "after its result refused");
    }

    @Test
    void reportsRetryOfNonIdempotentTaskWithoutProof() throws IOException {
        lines.set(
                indexOf(report("a1", "x1", "REFUSED")),
                "{\"t\":12000,"
                        + frame(
                                2,
                                "down",
                                "MESSAGE",
                                "\"destination\":\"/nodes/a1/offers\"",
                                "{\"withdraw\":{\"attempt\":\"x1\"}}")
                        + "}");
        assertOnlyViolation(2, "though it may have run on a1");
    }

    @Test
    void reportsOverlappingAttempts() throws IOException {
        replace("\"attempt\":\"x5\",\"kind\":\"REFUSED\"", "\"attempt\":\"x5\",\"kind\":\"USES\"");
        insertAfter("\"attempt\":\"x5\",\"kind\":\"USES\"", offer("b1", "x9", "t4", "safe"));
        assertOnlyViolation(2, "while its attempt on a1 is out");
    }

    @Test
    void reportsRetryOutsideZoneOfIdempotencyKey() throws IOException {
        lines.set(
                indexOf(report("a1", "x3", "ACCEPTED")),
                "{\"t\":32000,"
                        + frame(
                                2,
                                "down",
                                "MESSAGE",
                                "\"destination\":\"/nodes/a1/offers\"",
                                "{\"withdraw\":{\"attempt\":\"x3\"}}")
                        + "}");
        insertAfter("{\"withdraw\":{\"attempt\":\"x3\"}}", offer("b1", "x9", "t2", "keyed"));
        assertOnlyViolation(2, "outside the group that drops its repeats");
    }

    @Test
    void reportsMessageWithTwoContents() throws IOException {
        insertAfter(
                "\"message-id\":\"n1\"",
                frame(
                        1,
                        "down",
                        "MESSAGE",
                        "\"destination\":\"/tasks/results\",\"message-id\":"
                                + "\"n1\",\"task\":\"t1\",\"result\":\"failed\"",
                        "{}"));
        assertOnlyViolation(1, "says 't1 failed' to one session of o and 't1 placed' to another");
    }

    @Test
    void reportsResultThatChangesAfterPlacerKill() throws IOException {
        lines.set(0, lines.get(0).replace("\"k\":\"site\"", "\"k\":\"site\",\"lasting\":true"));
        String messageId = "\"message-id\":\"n1\"";
        int number = indexOf("\"task\":\"t1\",\"result\"");
        assertThat(lines.get(number)).contains(messageId).contains("\"result\":\"placed\"");
        long last = lines.size();
        lines.add("{\"t\":9000000,\"k\":\"mark\",\"what\":\"placer-killed\",\"placer\":\"p\"}");
        lines.add("{\"t\":9010000," + request("t1", "unsafe") + "}");
        lines.add("{\"t\":9020000," + result(1, "t1", "failed") + "}");
        assertThat(lines).hasSize((int) last + 3);
        assertThat(audit())
                .anyMatch(
                        violation ->
                                violation.rule() == 1
                                        && violation
                                                .description()
                                                .contains(
                                                        "is told failed after it was told placed"));
    }

    @Test
    void reportsSecondStartOfNonIdempotentTask() throws IOException {
        insertAfter("\"attempt\":\"x2\",\"kind\":\"RUNS\"", report("a1", "x1", "RUNS"));
        assertOnlyViolation(2, "started twice");
    }

    @Test
    void reportsRejectionAfterPossibleStart() throws IOException {
        replace(
                "\"message-id\":\"n1\",\"task\":\"t1\",\"result\":\"placed\"",
                "\"message-id\":\"n1\",\"task\":\"t1\",\"result\":\"refused\"");
        assertOnlyViolation(2, "trying again is harmless");
    }

    @Test
    void reportsOfferToDrainingNode() throws IOException {
        lines.add(
                indexOf(
                        "\"id\":\"t2\",\"taskClass\":\"keyed\",\"service\":\"s\",\"key\":\"k-t2\",\"patienceMs\""),
                "{\"t\":20000," + send(4, "/nodes/drain", "{\"node\":\"a1\",\"on\":true}") + "}");
        lines.subList(indexOf("\"t\":30000"), lines.size())
                .replaceAll(
                        line -> {
                            long micros = Long.parseLong(line.substring(5, line.indexOf(',')));
                            return line.replaceFirst(
                                    "\"t\":" + micros,
                                    "\"t\":"
                                            + (micros < 50_000
                                                    ? micros + 600_000
                                                    : micros + 700_000));
                        });
        assertThat(audit())
                .hasSize(3)
                .allMatch(
                        violation ->
                                violation.rule() == 3
                                        && violation.description().contains("a1, which drains"));
    }

    @Test
    void reportsTooManyOffersToWarmingNode() throws IOException {
        replace("\"zone\":\"a\",\"uptimeMs\":\"3600000\"", "\"zone\":\"a\",\"uptimeMs\":\"0\"");
        assertThat(audit())
                .hasSize(2)
                .allMatch(
                        violation ->
                                violation.rule() == 4
                                        && violation.description().contains("a1 is cold"));
    }

    @Test
    void reportsServiceNotSpread() throws IOException {
        insertAfter("\"message-id\":\"n3\"", request("t6", "wide"));
        insertAfter("\"id\":\"t6\",\"taskClass\":\"wide\"", offer("a1", "x9", "t6", "wide"));
        insertAfter("\"attempt\":\"x9\"", result(9, "t6", "placed"));
        assertOnlyViolation(5, "2 tasks in the zone of a1");
    }

    @Test
    void reportsUnreadableLine() throws IOException {
        lines.add("not json");
        assertOnlyViolation(0, "not JSON");
    }

    @Test
    void reportsOffersOfTasksWhoseOwnerIsUnknown() throws IOException {
        lines.remove(indexOf("\"login\":\"o\""));
        assertThat(audit())
                .hasSize(5)
                .allMatch(
                        violation ->
                                violation.rule() == 1
                                        && violation
                                                .description()
                                                .contains("but nobody asked for it"));
    }
}
