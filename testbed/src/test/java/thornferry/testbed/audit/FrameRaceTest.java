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

/**
 * Races between frames that cross, or that a busy placer reads late: the order of the capture is
 * not the order in which the placer learned of them. Each capture that must be clean is paired with
 * one that differs from it in a single place and has a violation.
 */
class FrameRaceTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long SLACK_MICROS = 250 * MICROS_PER_MILLI;

    // numbers of connections
    private static final int CLIENT = 1;
    private static final int NODE = 2;
    private static final int OPERATOR = 3;
    private static final int CLIENT_RECONNECTED = 4;
    private static final int CLIENT_RECONNECTED_AGAIN = 5;

    private static final String REQUEST_RECEIPT = "r1";
    private static final String RESENT_RECEIPT = "r2";
    private static final String DRAIN_RECEIPT = "r3";

    private static final String SITE =
            "'k':'site','rules':{'answerGrace':8000,'drainGrace':500000,'ramp':0,'coldFrom':1,"
                    + "'coldMultiple':2,'coldWindow':3000000,'coldOffers':20,"
                    + "'startsPerSecond':10},'classes':[{'name':'safe','effect':'SAFE',"
                    + "'keyScope':'ALL','deadline':8000000,'spread':'NONE'}]";

    @TempDir Path folder;
    private final List<String> lines = new ArrayList<>();

    @BeforeEach
    void openConnections() {
        addRow(0, SITE);
        connect(1, CLIENT, "o");
        connect(1, NODE, "agent");
        connect(1, OPERATOR, "operator");
        subscribe(2, CLIENT);
        sendToPlacer(
                3,
                NODE,
                "SEND",
                "'destination':'/nodes/register'",
                "{'node':'n','incarnation':'1','zone':'a','uptimeMs':'3600000'}");
    }

    // ---- rows of a capture; ' stands for " ----
    private void addRow(long atMillis, String rest) {
        String text = "{'t':" + atMillis * MICROS_PER_MILLI + "," + rest + "}";
        lines.add(text.replace('\'', '"'));
    }

    private void frame(
            long atMillis,
            int connection,
            String direction,
            String command,
            String headers,
            String body) {
        addRow(
                atMillis,
                "'k':'frame','link':"
                        + connection
                        + ",'placer':'p','dir':'"
                        + direction
                        + "','cmd':'"
                        + command
                        + "','h':{"
                        + headers
                        + "},'b':"
                        + body);
    }

    private void sendToPlacer(
            long atMillis, int connection, String command, String headers, String body) {
        frame(atMillis, connection, "up", command, headers, body);
    }

    private void sendFromPlacer(
            long atMillis, int connection, String command, String headers, String body) {
        frame(atMillis, connection, "down", command, headers, body);
    }

    private void connect(long atMillis, int connection, String login) {
        addRow(atMillis, "'k':'open','link':" + connection + ",'placer':'p'");
        sendToPlacer(atMillis, connection, "CONNECT", "'login':'" + login + "'", "{}");
    }

    private void subscribe(long atMillis, int connection) {
        sendToPlacer(
                atMillis, connection, "SUBSCRIBE", "'id':'1','destination':'/tasks/results'", "{}");
    }

    private void request(long atMillis, int connection, String receipt, long maxWaitMillis) {
        sendToPlacer(
                atMillis,
                connection,
                "SEND",
                "'destination':'/tasks','receipt':'" + receipt + "'",
                "{'id':'t','taskClass':'safe','service':'s','key':'k','patienceMs':'"
                        + maxWaitMillis
                        + "'}");
    }

    private void receipt(long atMillis, int connection, String receipt) {
        sendFromPlacer(atMillis, connection, "RECEIPT", "'receipt-id':'" + receipt + "'", "{}");
    }

    private void rejectRequest(long atMillis, int connection) {
        sendFromPlacer(
                atMillis,
                connection,
                "MESSAGE",
                "'destination':'/tasks/results','message-id':'n1','task':'t','result':'refused'",
                "{}");
    }

    private void offer(long atMillis) {
        sendFromPlacer(
                atMillis,
                NODE,
                "MESSAGE",
                "'destination':'/nodes/n/offers'",
                "{'offer':{'attempt':'a','owner':'o','task':{'id':'t','taskClass':'safe',"
                        + "'service':'s','key':'k'}}}");
    }

    private void drain(long atMillis) {
        sendToPlacer(
                atMillis,
                OPERATOR,
                "SEND",
                "'destination':'/nodes/drain','receipt':'" + DRAIN_RECEIPT + "'",
                "{'node':'n','on':true}");
    }

    private void error(long atMillis, int connection) {
        sendFromPlacer(atMillis, connection, "ERROR", "'message':'silent'", "{}");
    }

    private void pausePlacer(long atMillis, long untilMillis) {
        addRow(
                atMillis,
                "'k':'mark','what':'placer-paused','placer':'p','until':"
                        + untilMillis * MICROS_PER_MILLI);
    }

    // ---- verdicts ----
    private List<Violation> audit() throws IOException {
        addRow(60_000, "'k':'mark','what':'end'");
        Path file = Files.write(folder.resolve("capture.jsonl"), lines);
        return TraceAuditor.audit(file, SLACK_MICROS).violations();
    }

    private void assertOnlyViolation(int rule, String description) throws IOException {
        assertThat(audit())
                .singleElement()
                .satisfies(
                        violation -> {
                            assertThat(violation.rule()).isEqualTo(rule);
                            assertThat(violation.description()).contains(description);
                        });
    }

    // ---- a result that passes before the receipt of its request ----
    @Test
    void countsMaxWaitFromReceiptThatFollowsResult() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 0);
        rejectRequest(3_000, CLIENT);
        receipt(3_000, CLIENT, REQUEST_RECEIPT);
        assertThat(audit()).isEmpty();
    }

    @Test
    void reportsLateResultWithoutReceipt() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 0);
        rejectRequest(3_000, CLIENT);
        assertOnlyViolation(1, "its result came 1742 ms too late");
    }

    @Test
    void reportsLateResultWhoseReceiptFollowsAfterSlack() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 0);
        rejectRequest(3_000, CLIENT);
        receipt(3_300, CLIENT, REQUEST_RECEIPT);
        assertOnlyViolation(1, "its result came 1742 ms too late");
    }

    @Test
    void reportsLateResultAfterReceipt() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 0);
        receipt(1_010, CLIENT, REQUEST_RECEIPT);
        rejectRequest(3_000, CLIENT);
        assertOnlyViolation(1, "its result came 1732 ms too late");
    }

    // ---- a request without a receipt, resent after its connection broke ----
    private void resendAfterBrokenConnection() {
        addRow(2_800, "'k':'close','link':" + CLIENT + ",'placer':'p'");
        connect(2_810, CLIENT_RECONNECTED, "o");
        subscribe(2_820, CLIENT_RECONNECTED);
        request(2_900, CLIENT_RECONNECTED, RESENT_RECEIPT, 100);
        receipt(3_000, CLIENT_RECONNECTED, RESENT_RECEIPT);
    }

    @Test
    void countsMaxWaitOfUnreceiptedRequestFromReceiptOfResentRequest() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 2_000);
        resendAfterBrokenConnection();
        rejectRequest(4_900, CLIENT_RECONNECTED);
        assertThat(audit()).isEmpty();
    }

    @Test
    void reportsResultTooLateAfterReceiptOfResentRequest() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 2_000);
        resendAfterBrokenConnection();
        rejectRequest(5_300, CLIENT_RECONNECTED);
        assertOnlyViolation(1, "its result came 42 ms too late");
    }

    @Test
    void reportsLateResultOfReceiptedRequestThatIsResent() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 2_000);
        receipt(1_010, CLIENT, REQUEST_RECEIPT);
        resendAfterBrokenConnection();
        rejectRequest(4_900, CLIENT_RECONNECTED);
        assertOnlyViolation(1, "its result came 1542 ms too late");
    }

    @Test
    void ignoresResultLostWithConnectionOfResentRequest() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 2_000);
        resendAfterBrokenConnection();
        addRow(3_050, "'k':'close','link':" + CLIENT_RECONNECTED + ",'placer':'p'");
        connect(3_060, CLIENT_RECONNECTED_AGAIN, "o");
        subscribe(4_500, CLIENT_RECONNECTED_AGAIN);
        assertThat(audit()).isEmpty();
    }

    @Test
    void reportsMissingResultWhereConnectionOfResentRequestLasts() throws IOException {
        request(1_000, CLIENT, REQUEST_RECEIPT, 2_000);
        resendAfterBrokenConnection();
        assertOnlyViolation(1, "never had a result, though its owner listened");
    }

    // ---- a drain that the placer never read ----
    private void requestAndOfferLongAfterDrain() {
        request(3_000, CLIENT, REQUEST_RECEIPT, 2_000);
        receipt(3_001, CLIENT, REQUEST_RECEIPT);
        offer(3_002);
        rejectRequest(3_100, CLIENT);
    }

    @Test
    void reportsOfferToDrainingNode() throws IOException {
        drain(1_000);
        requestAndOfferLongAfterDrain();
        assertOnlyViolation(3, "is offered to n, which drains, 2002 ms after p was told");
    }

    @Test
    void ignoresDrainThatCrossesErrorOfItsConnection() throws IOException {
        drain(1_000);
        error(1_010, OPERATOR);
        requestAndOfferLongAfterDrain();
        assertThat(audit()).isEmpty();
    }

    @Test
    void ignoresDrainSentAfterErrorOfItsConnection() throws IOException {
        error(990, OPERATOR);
        drain(1_000);
        requestAndOfferLongAfterDrain();
        assertThat(audit()).isEmpty();
    }

    @Test
    void reportsOfferToNodeWhoseDrainWasReceiptedBeforeError() throws IOException {
        drain(1_000);
        receipt(1_005, OPERATOR, DRAIN_RECEIPT);
        error(1_010, OPERATOR);
        requestAndOfferLongAfterDrain();
        assertOnlyViolation(3, "is offered to n, which drains, 2002 ms after p was told");
    }

    // ---- a pause that lasts longer than planned ----
    private void requestBeforePause(long pauseEndsAtMillis) {
        request(1_000, CLIENT, REQUEST_RECEIPT, 1_000);
        receipt(1_001, CLIENT, REQUEST_RECEIPT);
        pausePlacer(1_500, 2_000);
        pausePlacer(pauseEndsAtMillis, pauseEndsAtMillis);
    }

    @Test
    void allowsForPauseLongerThanPlanned() throws IOException {
        requestBeforePause(5_000);
        rejectRequest(5_200, CLIENT);
        assertThat(audit()).isEmpty();
    }

    @Test
    void reportsResultTooLateAfterPause() throws IOException {
        requestBeforePause(5_000);
        rejectRequest(5_300, CLIENT);
        assertOnlyViolation(1, "its result came 42 ms too late");
    }

    @Test
    void reportsLateResultAfterPauseEndedAsPlanned() throws IOException {
        requestBeforePause(2_000);
        rejectRequest(5_200, CLIENT);
        assertOnlyViolation(1, "its result came 2941 ms too late");
    }
}
