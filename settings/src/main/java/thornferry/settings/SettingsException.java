package thornferry.settings;

/** Settings that are missing or invalid; the message names the setting. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * @param message what is wrong, with the name of the setting
     */
    public SettingsException(String message) {
        super(message);
    }
}
