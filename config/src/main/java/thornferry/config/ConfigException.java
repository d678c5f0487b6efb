package thornferry.config;

import java.util.List;

/** Thrown if a configuration file is invalid; lists all errors with file, line and key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> complaints;

    ConfigException(List<String> complaints) {
        super(String.join("\n", complaints));
        this.complaints = List.copyOf(complaints);
    }

    /** Returns the errors, in the order in which the values were read. */
    public List<String> complaints() {
        return complaints;
    }
}
