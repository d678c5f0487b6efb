package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import thornferry.state.Durability;
import thornferry.testbed.load.LatencySummary;
import thornferry.testbed.load.LoadReport;
import thornferry.testbed.load.TaskCounts;

final class LoadReportPrinterTest {
    private static final LatencySummary NO_SAMPLES = new LatencySummary(0, 0, 0, 0, 0);
    private static final LatencySummary TO_RESULT =
            new LatencySummary(9, 1_000, 2_500, 3_000, 4_010);
    private static final LatencySummary TO_OFFER = new LatencySummary(8, 500, 600, 700, 800);
    private static final LatencySummary TO_JOURNALED = new LatencySummary(4, 510, 610, 710, 810);
    private static final TaskCounts COUNTS = new TaskCounts(10, 6, 1, 1, 2, 3);
    private static final PlacerUsage USAGE =
            new PlacerUsage(Duration.ofNanos(1_234_000), OptionalLong.of(99));

    private static String print(boolean json, LoadReport report, PlacerUsage usage) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        new LoadReportPrinter(out, 20, Durability.OS, json).print(report, usage);
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void printsText() {
        LoadReport report = new LoadReport(130, COUNTS, TO_OFFER, TO_JOURNALED, TO_RESULT, 1);
        assertThat(print(false, report, USAGE).lines())
                .containsExactly(
                        "rate 130/s, 20 nodes: 10 requests, 6 placed, 1 rejected, 1 failed,"
                                + " 2 unanswered, 3 excluded from latencies, 1 duplicate starts of"
                                + " levy-run",
                        "  SEND to result p50 1.00 ms, p99 2.50 ms, p99.9 3.00 ms, max 4.01 ms",
                        "  SEND to offer  p50 0.50 ms, p99 0.60 ms, p99.9 0.70 ms, max 0.80 ms",
                        "    keyed and unsafe, journaled first (durability os): p50 0.51 ms,"
                                + " p99 0.61 ms, p99.9 0.71 ms, max 0.81 ms",
                        "  placer: 123 us CPU per task, 99 MB resident");
    }

    @Test
    void omitsLatenciesWithoutSamplesAndUnknownUsage() {
        LoadReport report = new LoadReport(130, COUNTS, NO_SAMPLES, NO_SAMPLES, TO_RESULT, 0);
        assertThat(print(false, report, PlacerUsage.UNKNOWN).lines())
                .hasSize(2)
                .noneMatch(line -> line.contains("SEND to offer") || line.contains("placer:"));
    }

    @Test
    void printsJsonLine() {
        LoadReport report = new LoadReport(130, COUNTS, TO_OFFER, TO_JOURNALED, TO_RESULT, 1);
        assertThat(print(true, report, USAGE).lines())
                .containsExactly(
                        "{\"rate\":130.0,\"nodes\":20,\"asked\":10,\"placed\":6,\"refused\":1,"
                                + "\"failed\":1,\"unanswered\":2,\"excluded\":3,\"levyTwice\":1,"
                                + "\"cpuMicrosPerTask\":123,\"residentMb\":99,\"toOfferMicros\":"
                                + "{\"p50\":500,\"p99\":600,\"p999\":700,\"most\":800},"
                                + "\"toPromisedOfferMicros\":"
                                + "{\"p50\":510,\"p99\":610,\"p999\":710,\"most\":810},"
                                + "\"toResultMicros\":"
                                + "{\"p50\":1000,\"p99\":2500,\"p999\":3000,\"most\":4010}}");
    }

    @Test
    void unknownMemoryIsMinusOneInJson() {
        LoadReport report = new LoadReport(130, COUNTS, NO_SAMPLES, NO_SAMPLES, TO_RESULT, 0);
        assertThat(print(true, report, PlacerUsage.UNKNOWN))
                .contains("\"cpuMicrosPerTask\":0,\"residentMb\":-1,");
    }
}
