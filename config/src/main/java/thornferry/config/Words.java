package thornferry.config;

import static java.util.Map.entry;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import thornferry.decisions.placement.Placement.TopologyScope;

/** Words that stand for values, in the order in which complaints list them. */
final class Words {
    /** The words of {@code key-scope} and {@code spread}. */
    static final Map<String, TopologyScope> SCOPES =
            of(
                    entry("none", TopologyScope.NONE),
                    entry("machine", TopologyScope.MACHINE),
                    entry("cell", TopologyScope.CELL),
                    entry("zone", TopologyScope.ZONE),
                    entry("all", TopologyScope.ALL));

    private Words() {}

    /** A map that, unlike {@link Map#ofEntries}, keeps the order. */
    @SafeVarargs
    static <T> Map<String, T> of(Map.Entry<String, T>... entries) {
        Map<String, T> words = new LinkedHashMap<>();
        for (Map.Entry<String, T> entry : entries) {
            words.put(entry.getKey(), entry.getValue());
        }
        return Collections.unmodifiableMap(words);
    }
}
