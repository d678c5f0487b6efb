package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import org.junit.jupiter.api.Test;

class SettingOutOfRangeExceptionTest {
    @Test
    void namesSettingValueAndRequirement() {
        assertThatThrownBy(() -> new LoginRateLimiter.Settings(3, 200, 100, 1, 1))
                .isInstanceOf(SettingOutOfRangeException.class)
                .hasMessage("maxDelayMicros is 100 but must be at least 200");
        assertThatThrownBy(() -> new Quota(1, 0, 1, 1, 1, 1))
                .isInstanceOf(SettingOutOfRangeException.class)
                .hasMessage("maxTasks is 0.0 but must be above 0");
    }

    @Test
    void rejectsNaN() {
        assertThatIllegalArgumentException().isThrownBy(() -> new Quota(Double.NaN, 1, 1, 1, 1, 1));
        assertThatIllegalArgumentException()
                .isThrownBy(
                        () ->
                                AdmissionSettings.defaults()
                                        .withQuotas(
                                                null, null, null, Map.of("tenant", Double.NaN)));
    }
}
