package thornferry.config;

import java.util.List;

/** Everything that is wrong with a file, each complaint with file, line and key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<String> complaints;

    ConfigException(List<String> complaints) {
        super(String.join("\n", complaints));
        this.complaints = List.copyOf(complaints);
    }

    /** The complaints, in the order in which the values were read. */
    public List<String> complaints() {
        return complaints;
    }
}
