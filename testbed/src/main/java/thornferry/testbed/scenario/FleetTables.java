package thornferry.testbed.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import thornferry.agent.NodeBehavior;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;

/**
 * The tables {@code [[fleet]]}. They are read before the site's tables, so that a file's complaints
 * come together, and resolved with the site's machine kinds and rules afterwards.
 */
final class FleetTables {
    private static final int MAX_DECISION_MILLIS = 60_000;
    private static final int MAX_START_MILLIS = 600_000;
    private static final int MAX_USAGE_REPORT_MILLIS = 600_000;
    private static final int MAX_NODE_SLOTS = 1_000_000;

    /** A node needs a pace of starts above 0. */
    private static final double MIN_SLOW_START_SHARE = 0.01;

    /** A table before its machine kind is known; the behavior lacks what the site determines. */
    private record Entry(
            Section section,
            String kindName,
            String fleetName,
            List<String> zones,
            int nodeCount,
            NodeBehavior behavior) {}

    private final List<Entry> entries;

    private FleetTables(List<Entry> entries) {
        this.entries = entries;
    }

    static FleetTables read(Section root, List<Section> sections) {
        List<Entry> entries = sections.stream().map(FleetTables::entry).toList();
        if (entries.isEmpty()) {
            root.complain("fleet", "a fleet of none: at least one [[fleet]] is needed");
        }
        return new FleetTables(entries);
    }

    private static Entry entry(Section section) {
        return new Entry(
                section,
                section.text("kind", null),
                section.text("name", "node"),
                List.of(section.text("zones", "hall-a").split(" *, *")),
                section.whole("count", 1, 100_000, 1),
                behavior(section));
    }

    private static NodeBehavior behavior(Section section) {
        NodeBehavior usual = NodeBehavior.usual(Map.of());
        return new NodeBehavior(
                section.millis("think-least-ms", 0, MAX_DECISION_MILLIS, 2),
                section.millis("think-most-ms", 0, MAX_DECISION_MILLIS, 8),
                section.whole("queue", 1, MAX_NODE_SLOTS, usual.offerQueueLength()),
                section.whole("starts-at-once", 1, MAX_NODE_SLOTS, usual.concurrentStarts()),
                section.millis("start-ms", 0, MAX_START_MILLIS, 60),
                section.number("start-factor", 1, 1_000, usual.coldProgramFactor()),
                section.whole("programs", 0, 10_000, usual.cachedPrograms()),
                usual.slowStartMicros(),
                usual.slowStartInitialShare(),
                usual.slowStartMultiple(),
                usual.slowStartWindowMicros(),
                usual.slowStartOffers(),
                section.number("uses-least", 0, 10, usual.minUsageFraction()),
                section.number("uses-most", 0, 10, usual.maxUsageFraction()),
                usual.defaultRunMicros(),
                section.millis("uses-every-ms", 0, MAX_USAGE_REPORT_MILLIS, 5_000),
                Map.of());
    }

    /** The fleets; a table whose machine kind the site lacks gives a complaint instead. */
    List<Fleet> resolve(Placement.Settings placement) {
        List<Fleet> fleets = new ArrayList<>();
        for (Entry entry : entries) {
            Optional<Placement.MachineKind> machineKind =
                    placement.machineKinds().stream()
                            .filter(kind -> kind.name().equals(entry.kindName()))
                            .findFirst();
            if (machineKind.isPresent()) {
                fleets.add(fleet(entry, machineKind.get(), placement));
            } else {
                entry.section()
                        .complain("kind", "no kind " + entry.kindName() + " stands in this file");
            }
        }
        return fleets;
    }

    private static Fleet fleet(
            Entry entry, Placement.MachineKind machineKind, Placement.Settings placement) {
        return new Fleet(
                entry.fleetName(),
                entry.nodeCount(),
                machineKind,
                entry.zones(),
                withSiteRules(entry.behavior(), placement));
    }

    /** Nodes apply the same slow start and the same key windows as the placers expect of them. */
    private static NodeBehavior withSiteRules(NodeBehavior behavior, Placement.Settings placement) {
        Placement.Rules rules = placement.rules();
        return new NodeBehavior(
                behavior.minDecisionMicros(),
                behavior.maxDecisionMicros(),
                behavior.offerQueueLength(),
                behavior.concurrentStarts(),
                behavior.startMicros(),
                behavior.coldProgramFactor(),
                behavior.cachedPrograms(),
                rules.slowStartMicros(),
                Math.max(MIN_SLOW_START_SHARE, rules.slowStartInitialShare()),
                rules.slowStartMultiple(),
                rules.slowStartWindowMicros(),
                (int) rules.slowStartOffers(),
                behavior.minUsageFraction(),
                behavior.maxUsageFraction(),
                behavior.defaultRunMicros(),
                behavior.usageReportMicros(),
                keyWindowMicrosByClass(placement));
    }

    private static Map<String, Long> keyWindowMicrosByClass(Placement.Settings placement) {
        Map<String, Long> windows = new HashMap<>();
        for (Placement.TaskClass taskClass : placement.classes()) {
            if (taskClass.idempotency() == Placement.Idempotency.IDEMPOTENT_WITH_KEY) {
                windows.put(taskClass.name(), taskClass.keyWindowMicros());
            }
        }
        return windows;
    }
}
