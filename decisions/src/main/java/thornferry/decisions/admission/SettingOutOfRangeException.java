package thornferry.decisions.admission;

/** Thrown if a setting of admission control is outside its range. */
public final class SettingOutOfRangeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private SettingOutOfRangeException(String setting, Object value, String requirement) {
        super(setting + " is " + value + " but must be " + requirement);
    }

    /** Throws the exception if {@code value} is NaN or below {@code min}. */
    static void requireAtLeast(String setting, double value, double min) {
        if (!(value >= min)) {
            throw new SettingOutOfRangeException(setting, value, "at least " + min);
        }
    }

    /** Throws the exception if {@code value} is below {@code min}. */
    static void requireAtLeast(String setting, long value, long min) {
        if (value < min) {
            throw new SettingOutOfRangeException(setting, value, "at least " + min);
        }
    }

    /** Throws the exception if {@code value} is NaN, 0 or negative. */
    static void requirePositive(String setting, double value) {
        if (!(value > 0)) {
            throw new SettingOutOfRangeException(setting, value, "above 0");
        }
    }
}
