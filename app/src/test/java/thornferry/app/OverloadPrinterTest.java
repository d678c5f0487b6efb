package thornferry.app;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import thornferry.testbed.load.AnswerTotals;
import thornferry.testbed.load.Fairness;
import thornferry.testbed.load.OverloadOutcome;
import thornferry.testbed.load.RecoveryOutcome;
import thornferry.testbed.load.RecoveryPoint;
import thornferry.testbed.load.ReservationOutcome;

final class OverloadPrinterTest {
    private static final Fairness FAIRNESS =
            new Fairness(
                    0.875,
                    List.of(
                            new Fairness.ServiceRatio("depots", 1.25),
                            new Fairness.ServiceRatio("levies", 0.5),
                            new Fairness.ServiceRatio("gauges", 1)));
    private static final OverloadOutcome OUTCOME =
            new OverloadOutcome(
                    2, true, 900, 1_234.4, FAIRNESS, new AnswerTotals(1_000, 2_500_000, 40, 5, 1));

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final OverloadPrinter printer =
            new OverloadPrinter(new PrintStream(bytes, true, StandardCharsets.UTF_8));

    private Stream<String> lines() {
        return bytes.toString(StandardCharsets.UTF_8).lines();
    }

    @Test
    void printsHeaderAndRowOfTable() {
        printer.printHeader();
        printer.print(OUTCOME);
        assertThat(lines())
                .containsExactly(
                        " LOAD  LINE   ASKED  PLACED  WORTH/s   JAIN SERVED/ENTITLED       P99 ms"
                                + "   EARLY    LATE UNANSWERED",
                        "  2.0    on    1000     900     1234  0.875 1.25 0.50 1.00          2500"
                                + "      40       5          1");
    }

    @Test
    void printsReservations() {
        printer.print(new ReservationOutcome(1, false, 20, 7, 333.3));
        assertThat(lines())
                .containsExactly(
                        "load 1.0, reservations for large tasks off: 7 of 20 placed, total priority"
                                + " weight 333/s");
    }

    @Test
    void printsRecovery() {
        printer.print(new RecoveryOutcome(true, 3_000, List.of(new RecoveryPoint(4.25, 1))));
        printer.print(new RecoveryOutcome(false, 3_000, List.of(new RecoveryPoint(29, 0.5))));
        assertThat(lines())
                .containsExactly(
                        "burst of 3000, admission queue on: recovered after 4.3 s",
                        "burst of 3000, admission queue off: not recovered within 30 s");
    }

    @Test
    void chartHasOneLineWithAndOneWithoutAdmissionQueue() {
        LineChart chart =
                OverloadCharts.overloadChart(
                        "Title",
                        "unit",
                        List.of(OUTCOME),
                        outcome -> outcome.fairness().jainIndex());
        assertThat(chart.title()).isEqualTo("Title (emulated nodes)");
        assertThat(chart.series())
                .containsExactly(
                        new LineChart.Series("admission queue off", List.of()),
                        new LineChart.Series(
                                "admission queue on", List.of(new LineChart.Point(2, 0.875))));
    }
}
