package thornferry.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

final class FairnessTest {
    private static final double TOLERANCE = 1e-9;

    private static TenantTotals served(double share, double coreSeconds) {
        return new TenantTotals(
                new TenantAccount("tenant-" + share, "owner-" + share, share), coreSeconds);
    }

    @Test
    void indexIsOneForEqualValues() {
        assertThat(Fairness.jainIndex(3, 3, 3, 3)).isEqualTo(1, within(TOLERANCE));
    }

    @Test
    void indexIsOneOverCountIfOneGetsAll() {
        assertThat(Fairness.jainIndex(0, 7, 0, 0)).isEqualTo(0.25, within(TOLERANCE));
    }

    @Test
    void indexOfUnequalValues() {
        assertThat(Fairness.jainIndex(1, 2, 3)).isEqualTo(36.0 / 42, within(TOLERANCE));
    }

    @Test
    void indexIsZeroWithoutService() {
        assertThat(Fairness.jainIndex(0, 0)).isZero();
    }

    @Test
    void serviceInProportionToSharesIsFair() {
        Fairness fairness = Fairness.of(List.of(served(0.5, 50), served(0.3, 30), served(0.2, 20)));
        assertThat(fairness.jainIndex()).isEqualTo(1, within(TOLERANCE));
        assertThat(fairness.serviceRatios())
                .extracting(Fairness.ServiceRatio::ratio)
                .allSatisfy(ratio -> assertThat(ratio).isEqualTo(1, within(TOLERANCE)));
    }

    @Test
    void equalServiceIsUnfairIfSharesDiffer() {
        Fairness fairness = Fairness.of(List.of(served(3, 10), served(1, 10)));
        assertThat(fairness.serviceRatios())
                .containsExactly(
                        new Fairness.ServiceRatio("tenant-3.0", 0.5 / 0.75),
                        new Fairness.ServiceRatio("tenant-1.0", 0.5 / 0.25));
        assertThat(fairness.jainIndex()).isEqualTo(0.8, within(TOLERANCE));
    }

    @Test
    void ratiosAreZeroWithoutService() {
        Fairness fairness = Fairness.of(List.of(served(0.5, 0), served(0.5, 0)));
        assertThat(fairness.serviceRatios())
                .extracting(Fairness.ServiceRatio::ratio)
                .containsExactly(0.0, 0.0);
        assertThat(fairness.jainIndex()).isZero();
    }
}
