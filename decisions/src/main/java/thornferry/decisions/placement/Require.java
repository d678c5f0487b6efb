package thornferry.decisions.placement;

import java.util.List;

/**
 * Checks of single settings. Each method throws {@link InvalidSettingException} if the value is
 * invalid.
 */
final class Require {
    private Require() {}

    static void present(String setting, Object value) {
        check(value != null, setting, value, "must be given");
    }

    static void notEmpty(String setting, List<?> value) {
        check(value != null && !value.isEmpty(), setting, value, "must not be empty");
    }

    static void positive(String setting, long value) {
        check(value > 0, setting, value, "must be positive");
    }

    static void positive(String setting, double value) {
        check(Double.isFinite(value) && value > 0, setting, value, "must be positive and finite");
    }

    static void notNegative(String setting, long value) {
        check(value >= 0, setting, value, "must not be negative");
    }

    static void notNegative(String setting, double value) {
        boolean satisfied = Double.isFinite(value) && value >= 0;
        check(satisfied, setting, value, "must be finite and not negative");
    }

    static void finite(String setting, double value) {
        check(Double.isFinite(value), setting, value, "must be finite");
    }

    private static void check(boolean satisfied, String setting, Object value, String requirement) {
        if (!satisfied) {
            throw new InvalidSettingException(setting, String.valueOf(value), requirement);
        }
    }
}
