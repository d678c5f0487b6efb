package thornferry.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.MachineKind;

/** The tables {@code [[kind]]}: the machine kinds and their capacities. */
final class KindTables {
    private static final double MIN_CAPACITY = 1e-3;

    private KindTables() {}

    static List<MachineKind> read(Section root) {
        List<MachineKind> kinds = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : root.tables("kind")) {
            MachineKind kind =
                    new MachineKind(
                            section.requiredText("name"),
                            section.requiredNumber("cores", MIN_CAPACITY, 1e6),
                            section.requiredNumber("memory", MIN_CAPACITY, 1e9));
            if (!names.add(kind.name())) {
                section.complain("name", "kind " + kind.name() + " is already defined");
            }
            kinds.add(kind);
        }
        return kinds;
    }

    /** Returns a substitute for the kinds of a file without any, so that reading can continue. */
    static MachineKind placeholder() {
        return new MachineKind("none", 1, 1);
    }
}
