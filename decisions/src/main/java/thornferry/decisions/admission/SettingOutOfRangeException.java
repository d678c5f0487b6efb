package thornferry.decisions.admission;

/** A setting of admission control lies outside its range. */
public final class SettingOutOfRangeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private SettingOutOfRangeException(String setting, Object value, String requirement) {
        super(setting + " is " + value + " but must be " + requirement);
    }

    /** Rejects NaN and values below {@code min}. */
    static void requireAtLeast(String setting, double value, double min) {
        if (!(value >= min)) {
            throw new SettingOutOfRangeException(setting, value, "at least " + min);
        }
    }

    /** Rejects values below {@code min}. */
    static void requireAtLeast(String setting, long value, long min) {
        if (value < min) {
            throw new SettingOutOfRangeException(setting, value, "at least " + min);
        }
    }

    /** Rejects NaN, zero and negative values. */
    static void requirePositive(String setting, double value) {
        if (!(value > 0)) {
            throw new SettingOutOfRangeException(setting, value, "above 0");
        }
    }
}
