package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

final class LatencySummaryTest {
    private final Histogram histogram = new Histogram(1_000_000, 3);

    @Test
    void summarizesPercentiles() {
        for (int micros = 1; micros <= 1_000; micros++) {
            histogram.recordValue(micros);
        }
        assertThat(LatencySummary.of(histogram))
                .isEqualTo(new LatencySummary(1_000, 500, 990, 999, 1_000));
    }

    @Test
    void isZeroWithoutSamples() {
        assertThat(LatencySummary.of(histogram)).isEqualTo(new LatencySummary(0, 0, 0, 0, 0));
    }
}
