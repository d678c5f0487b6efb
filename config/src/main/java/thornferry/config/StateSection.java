package thornferry.config;

import static java.util.Map.entry;

import java.nio.file.Path;
import java.util.Map;
import thornferry.config.TomlFile.Section;
import thornferry.placer.Site;
import thornferry.state.Durability;

/** The table {@code [state]}: the durability and the folder of the journal. */
final class StateSection {
    private static final Map<String, Durability> DURABILITIES =
            NamedValues.of(
                    entry("none", Durability.NONE),
                    entry("os", Durability.OS),
                    entry("disk", Durability.DISK));

    private StateSection() {}

    /**
     * Reads the table.
     *
     * @param directory directory to which the folder is relative
     */
    static Site.State read(Section root, Path directory) {
        Section section = root.table("state");
        Durability durability = section.choice("durability", DURABILITIES, Durability.NONE);
        return new Site.State(durability, directory.resolve(section.text("folder", "state")));
    }
}
