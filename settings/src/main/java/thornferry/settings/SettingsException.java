package thornferry.settings;

/** Settings that cannot be; the message names the field. */
public final class SettingsException extends Exception {
    public SettingsException(String message) {
        super(message);
    }
}
