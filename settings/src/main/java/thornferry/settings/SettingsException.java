package thornferry.settings;

/** Thrown if a setting is missing or invalid; the message names the setting. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * @param message the name of the setting and what is wrong with it
     */
    public SettingsException(String message) {
        super(message);
    }
}
