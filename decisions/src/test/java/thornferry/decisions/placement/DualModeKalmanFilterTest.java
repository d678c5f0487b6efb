package thornferry.decisions.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Compares the filter with values computed by hand for a fast process noise of 3 and a reset error
 * of 4.
 */
class DualModeKalmanFilterTest {
    private final DualModeKalmanFilter filter = new DualModeKalmanFilter();

    @Test
    void followsRisingLoadWithFastEstimate() {
        filter.update(1); // fast: error 4, gain 0.8
        assertEquals(0.8, filter.value(), 1e-9);
        // fast: error 3.8, gain 0.791667; slow: reset to 0.8 with error 4, now 0.96
        filter.update(1);
        assertEquals(0.8 + 0.2 * 3.8 / 4.8, filter.value(), 1e-9);
    }

    @Test
    void decaysFromFastEstimateWithShrinkingGain() {
        filter.update(1);
        filter.update(1);
        filter.update(0); // change of mode: the slow estimate is reset to the fast one, 0.2
        assertEquals(0.2, filter.value(), 1e-6);
        filter.update(0); // error 4: gain 0.8
        assertEquals(0.04, filter.value(), 1e-6);
        filter.update(0); // error 0.8: gain 0.4444
        assertEquals(0.04 * (1 - 0.8 / 1.8), filter.value(), 1e-6);
    }

    @Test
    void returnsToFastEstimateWhenLoadRisesAgain() {
        filter.update(1);
        filter.update(0);
        double low = filter.value();
        filter.update(1);
        assertTrue(filter.value() > low + 0.7 * (1 - low), "the gain is that of the fast estimate");
    }

    @Test
    void ignoresSamplesThatAreNotFinite() {
        filter.update(Double.NaN);
        filter.update(Double.POSITIVE_INFINITY);
        assertFalse(filter.hasSample());
        assertEquals(0, filter.value());
    }
}
