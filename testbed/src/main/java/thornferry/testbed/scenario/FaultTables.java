package thornferry.testbed.scenario;

import java.util.List;
import java.util.Optional;
import thornferry.config.TomlFile.Section;

/** The tables {@code [[trouble]]}: the faults of a scenario. */
final class FaultTables {
    private static final double MAX_MILLIS = 1e9;

    private FaultTables() {}

    /**
     * @param settings that faults must agree with
     */
    static List<Fault> read(List<Section> sections, ScenarioSettings settings) {
        return sections.stream().map(section -> fault(section, settings)).toList();
    }

    private static Fault fault(Section section, ScenarioSettings settings) {
        FaultKind kind = section.choice("kind", FaultKind.byWord(), null);
        double startSeconds = startSeconds(section, settings);
        Optional<String> taskClass = taskClass(section, kind);
        checkRequirement(section, kind, settings);
        long durationMillis = (long) section.number("for-ms", 0, MAX_MILLIS, 1_000);
        long maxDurationMillis = maxDurationMillis(section, (double) durationMillis);
        double defaultIntervalMillis = Math.max(1, 2.0 * durationMillis);
        return new Fault(
                startSeconds,
                kind,
                section.number("part", 0, 1, 0.25),
                durationMillis,
                maxDurationMillis,
                (long) section.number("every-ms", 1, MAX_MILLIS, defaultIntervalMillis),
                optionalText(section, "zone"),
                taskClass,
                section.number("factor", 0, 1_000, 1),
                section.whole("times", 1, 1_000, 1));
    }

    private static long maxDurationMillis(Section section, double durationMillis) {
        return (long) section.number("for-most-ms", durationMillis, MAX_MILLIS, durationMillis);
    }

    private static double startSeconds(Section section, ScenarioSettings settings) {
        double startSeconds = section.number("at-seconds", 0, DayTable.MAX_SECONDS, Double.NaN);
        long trafficSeconds = settings.trafficDuration().toSeconds();
        if (startSeconds > trafficSeconds) {
            section.complain("at-seconds", "comes after the day's " + trafficSeconds + " seconds");
        }
        return startSeconds;
    }

    private static Optional<String> taskClass(Section section, FaultKind kind) {
        Optional<String> taskClass = optionalText(section, "class");
        if (kind == FaultKind.CLASS_MUTE && taskClass.isEmpty()) {
            section.complain("class", "is missing: which class is left unanswered");
        }
        return taskClass;
    }

    private static void checkRequirement(
            Section section, FaultKind kind, ScenarioSettings settings) {
        boolean nodeProcesses = settings.hasNodeProcesses();
        if (kind.requirement() == FaultKind.Requirement.NODE_PROCESSES && !nodeProcesses) {
            section.complain("kind", "needs day.node-processes");
        } else if (kind.requirement() == FaultKind.Requirement.NODES_IN_PROCESS && nodeProcesses) {
            section.complain("kind", "strikes nodes of this process: day.node-processes must be 0");
        }
    }

    private static Optional<String> optionalText(Section section, String key) {
        return Optional.of(section.text(key, "")).filter(text -> !text.isEmpty());
    }
}
