package thornferry.decisions.placement;

/** Thrown if a setting of the placement policy is missing or out of range. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param setting the name of the setting
     * @param value the rejected value as text
     * @param requirement what the value must be, as in "must be positive"
     */
    InvalidSettingException(String setting, String value, String requirement) {
        super("invalid setting: " + setting + " " + requirement + ", but is " + value);
    }
}
