package thornferry.config;

import static java.util.Map.entry;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import thornferry.decisions.placement.Placement.TopologyScope;

/** Maps names in the file to values, in the order in which error messages list the names. */
final class NamedValues {
    /** The values of {@code key-scope} and {@code spread}. */
    static final Map<String, TopologyScope> SCOPES =
            of(
                    entry("none", TopologyScope.NONE),
                    entry("machine", TopologyScope.MACHINE),
                    entry("cell", TopologyScope.CELL),
                    entry("zone", TopologyScope.ZONE),
                    entry("all", TopologyScope.ALL));

    private NamedValues() {}

    /** Returns an unmodifiable map that, unlike {@link Map#ofEntries}, keeps the order. */
    @SafeVarargs
    static <T> Map<String, T> of(Map.Entry<String, T>... entries) {
        Map<String, T> valuesByName = new LinkedHashMap<>();
        for (Map.Entry<String, T> entry : entries) {
            valuesByName.put(entry.getKey(), entry.getValue());
        }
        return Collections.unmodifiableMap(valuesByName);
    }
}
