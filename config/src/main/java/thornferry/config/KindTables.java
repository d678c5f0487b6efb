package thornferry.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.MachineKind;

/** The tables {@code [[kind]]}: the kinds of nodes and their sizes. */
final class KindTables {
    private static final double MIN_SIZE = 1e-3;

    private KindTables() {}

    static List<MachineKind> read(Section root) {
        List<MachineKind> kinds = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : root.tables("kind")) {
            MachineKind kind =
                    new MachineKind(
                            section.requiredText("name"),
                            section.requiredNumber("cores", MIN_SIZE, 1e6),
                            section.requiredNumber("memory", MIN_SIZE, 1e9));
            if (!names.add(kind.name())) {
                section.complain("name", "kind " + kind.name() + " stands already");
            }
            kinds.add(kind);
        }
        return kinds;
    }

    /** Substitute for the kinds of a file that has none, so that reading can go on. */
    static MachineKind placeholder() {
        return new MachineKind("none", 1, 1);
    }
}
