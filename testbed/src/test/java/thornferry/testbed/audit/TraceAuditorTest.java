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

/** A good capture is clean; doctored in one place, the auditor finds just that breach. */
class TraceAuditorTest {
    private static final long MS = 1_000;

    @TempDir Path folder;
    private final List<String> lines = new ArrayList<>();

    private void line(long ms, String rest) {
        lines.add("{\"t\":" + ms * MS + "," + rest + "}");
    }

    private static String frame(int link, String dir, String cmd, String headers, String body) {
        return "\"k\":\"frame\",\"link\":"
                + link
                + ",\"placer\":\"p\",\"dir\":\""
                + dir
                + "\",\"cmd\":\""
                + cmd
                + "\",\"h\":{"
                + headers
                + "},\"b\":"
                + body;
    }

    private static String send(int link, String destination, String body) {
        return frame(
                link,
                "up",
                "SEND",
                "\"destination\":\"" + destination + "\",\"receipt\":\"r" + body.hashCode() + "\"",
                body);
    }

    private static String ask(String id, String cls) {
        return send(
                1,
                "/tasks",
                "{\"id\":\""
                        + id
                        + "\",\"taskClass\":\""
                        + cls
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

    private static String offer(String node, String attempt, String id, String cls) {
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
                        + cls
                        + "\",\"service\":\"s\",\"key\":\"k-"
                        + id
                        + "\"}}}");
    }

    private static String answer(String node, String attempt, String kind) {
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

    private static String register(int link, String node, String zone, long uptimeMs) {
        return send(
                link,
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
    void aGoodCapture() {
        line(
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
        for (int link = 1; link <= 4; link++) {
            line(1, "\"k\":\"open\",\"link\":" + link + ",\"placer\":\"p\"");
            line(
                    1,
                    frame(
                            link,
                            "up",
                            "CONNECT",
                            "\"login\":\"" + (link == 1 ? "o" : "x") + "\"",
                            "{}"));
        }
        line(
                2,
                frame(
                        1,
                        "up",
                        "SUBSCRIBE",
                        "\"id\":\"1\",\"destination\":\"/tasks/results\"",
                        "{}"));
        line(3, register(2, "a1", "a", 3_600_000));
        line(3, register(3, "b1", "b", 3_600_000));
        line(10, ask("t1", "unsafe"));
        line(11, offer("a1", "x1", "t1", "unsafe"));
        line(12, answer("a1", "x1", "REFUSED"));
        line(13, offer("b1", "x2", "t1", "unsafe"));
        line(14, answer("b1", "x2", "ACCEPTED"));
        line(15, result(1, "t1", "placed"));
        line(20, answer("b1", "x2", "RUNS"));
        line(30, ask("t2", "keyed"));
        line(31, offer("a1", "x3", "t2", "keyed"));
        line(32, answer("a1", "x3", "ACCEPTED"));
        line(33, result(2, "t2", "placed"));
        line(34, answer("a1", "x3", "RUNS"));
        line(40, ask("t3", "wide"));
        line(41, offer("a1", "x4", "t3", "wide"));
        line(42, answer("a1", "x4", "ACCEPTED"));
        line(43, result(3, "t3", "placed"));
        line(50, ask("t4", "safe"));
        line(51, offer("a1", "x5", "t4", "safe"));
        line(52, answer("a1", "x5", "REFUSED"));
        line(2_040, result(4, "t4", "refused"));
        line(60_000, "\"k\":\"mark\",\"what\":\"end\"");
    }

    /** Where the one line that holds {@code part} stands. */
    private int at(String part) {
        List<Integer> found = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).contains(part)) {
                found.add(i);
            }
        }
        assertThat(found).as(part).hasSize(1);
        return found.get(0);
    }

    /** Puts a line after the one that holds {@code part}, at its time. */
    private void after(String part, String rest) {
        int at = at(part);
        String time = lines.get(at).substring(5, lines.get(at).indexOf(','));
        lines.add(at + 1, "{\"t\":" + time + "," + rest + "}");
    }

    private void replace(String part, String by) {
        int at = -1;
        for (int i = 0; i < lines.size(); i++) {
            at = lines.get(i).contains(part) ? i : at;
        }
        lines.set(at, lines.get(at).replace(part, by));
    }

    private List<Violation> audit() throws IOException {
        Path file = folder.resolve("capture.jsonl");
        Files.write(file, lines);
        return TraceAuditor.audit(file, 250 * MS).violations();
    }

    private void finds(int rule, String what) throws IOException {
        assertThat(audit())
                .singleElement()
                .satisfies(
                        b -> {
                            assertThat(b.rule()).isEqualTo(rule);
                            assertThat(b.description()).contains(what);
                            assertThat(b.line()).isPositive();
                        });
    }

    @Test
    void theGoodCaptureIsClean() throws IOException {
        assertThat(audit()).isEmpty();
    }

    @Test
    void rule1AResultThatNeverCame() throws IOException {
        lines.remove(at("\"message-id\":\"n4\""));
        finds(1, "task t4 of o at p never had a result");
    }

    @Test
    void rule1AResultTooLate() throws IOException {
        replace("\"t\":2040000", "\"t\":2500000");
        finds(1, "too late");
    }

    @Test
    void rule1TwoResultsForOneAsk() throws IOException {
        after("\"message-id\":\"n1\"", result(9, "t1", "placed"));
        finds(1, "2 results for 1 asks");
    }

    @Test
    void rule1AnOfferAfterTheResult() throws IOException {
        lines.add(
                at("\"message-id\":\"n4\"") + 1,
                "{\"t\":4000000," + offer("b1", "x9", "t4", "safe") + "}");
        finds(1, "after its result refused");
    }

    @Test
    void rule2AnUnsafeTaskOfferedAgainWithoutProof() throws IOException {
        lines.set(
                at(answer("a1", "x1", "REFUSED")),
                "{\"t\":12000,"
                        + frame(
                                2,
                                "down",
                                "MESSAGE",
                                "\"destination\":\"/nodes/a1/offers\"",
                                "{\"withdraw\":{\"attempt\":\"x1\"}}")
                        + "}");
        finds(2, "though it may have run on a1");
    }

    @Test
    void rule2TwoAttemptsOutAtOnce() throws IOException {
        replace("\"attempt\":\"x5\",\"kind\":\"REFUSED\"", "\"attempt\":\"x5\",\"kind\":\"USES\"");
        after("\"attempt\":\"x5\",\"kind\":\"USES\"", offer("b1", "x9", "t4", "safe"));
        finds(2, "while its attempt on a1 is out");
    }

    @Test
    void rule2AKeyedTaskOutsideItsHall() throws IOException {
        lines.set(
                at(answer("a1", "x3", "ACCEPTED")),
                "{\"t\":32000,"
                        + frame(
                                2,
                                "down",
                                "MESSAGE",
                                "\"destination\":\"/nodes/a1/offers\"",
                                "{\"withdraw\":{\"attempt\":\"x3\"}}")
                        + "}");
        after("{\"withdraw\":{\"attempt\":\"x3\"}}", offer("b1", "x9", "t2", "keyed"));
        finds(2, "outside the group that drops its repeats");
    }

    @Test
    void rule1OneMessageThatSaysTwoThings() throws IOException {
        after(
                "\"message-id\":\"n1\"",
                frame(
                        1,
                        "down",
                        "MESSAGE",
                        "\"destination\":\"/tasks/results\",\"message-id\":"
                                + "\"n1\",\"task\":\"t1\",\"result\":\"failed\"",
                        "{}"));
        finds(1, "says 't1 failed' to one session of o and 't1 placed' to another");
    }

    @Test
    void rule1AResultThatDoesNotOutlastAKill() throws IOException {
        lines.set(0, lines.get(0).replace("\"k\":\"site\"", "\"k\":\"site\",\"lasting\":true"));
        String told = "\"message-id\":\"n1\"";
        int number = at("\"task\":\"t1\",\"result\"");
        assertThat(lines.get(number)).contains(told).contains("\"result\":\"placed\"");
        long last = lines.size();
        lines.add("{\"t\":9000000,\"k\":\"mark\",\"what\":\"placer-killed\",\"placer\":\"p\"}");
        lines.add("{\"t\":9010000," + ask("t1", "unsafe") + "}");
        lines.add("{\"t\":9020000," + result(1, "t1", "failed") + "}");
        assertThat(lines).hasSize((int) last + 3);
        assertThat(audit())
                .anyMatch(
                        b ->
                                b.rule() == 1
                                        && b.description()
                                                .contains(
                                                        "is told failed after it was told placed"));
    }

    @Test
    void rule2AnUnsafeTaskThatRanTwice() throws IOException {
        after("\"attempt\":\"x2\",\"kind\":\"RUNS\"", answer("a1", "x1", "RUNS"));
        finds(2, "started twice");
    }

    @Test
    void rule2ARefusalThatIsNotHarmless() throws IOException {
        replace(
                "\"message-id\":\"n1\",\"task\":\"t1\",\"result\":\"placed\"",
                "\"message-id\":\"n1\",\"task\":\"t1\",\"result\":\"refused\"");
        finds(2, "trying again is harmless");
    }

    @Test
    void rule3AnOfferToADrainedNode() throws IOException {
        lines.add(
                at(
                        "\"id\":\"t2\",\"taskClass\":\"keyed\",\"service\":\"s\",\"key\":\"k-t2\",\"patienceMs\""),
                "{\"t\":20000," + send(4, "/nodes/drain", "{\"node\":\"a1\",\"on\":true}") + "}");
        lines.subList(at("\"t\":30000"), lines.size())
                .replaceAll(
                        l -> {
                            long t = Long.parseLong(l.substring(5, l.indexOf(',')));
                            return l.replaceFirst(
                                    "\"t\":" + t,
                                    "\"t\":" + (t < 50_000 ? t + 600_000 : t + 700_000));
                        });
        assertThat(audit())
                .hasSize(3)
                .allMatch(b -> b.rule() == 3 && b.description().contains("a1, which drains"));
    }

    @Test
    void rule4AColdNodePushedOver() throws IOException {
        replace("\"zone\":\"a\",\"uptimeMs\":\"3600000\"", "\"zone\":\"a\",\"uptimeMs\":\"0\"");
        assertThat(audit())
                .hasSize(2)
                .allMatch(b -> b.rule() == 4 && b.description().contains("a1 is cold"));
    }

    @Test
    void rule5AServiceNotSpread() throws IOException {
        after("\"message-id\":\"n3\"", ask("t6", "wide"));
        after("\"id\":\"t6\",\"taskClass\":\"wide\"", offer("a1", "x9", "t6", "wide"));
        after("\"attempt\":\"x9\"", result(9, "t6", "placed"));
        finds(5, "2 tasks in the zone of a1");
    }

    @Test
    void whatCannotBeReadIsSaid() throws IOException {
        lines.add("not json");
        finds(0, "not JSON");
    }
}
