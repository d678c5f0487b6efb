package thornferry.config;

import static java.util.Map.entry;
import static thornferry.config.Durations.DAY_MILLIS;
import static thornferry.config.Durations.HOUR_MILLIS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.TopologyScope;

/** The tables {@code [[class]]}: the task classes. */
final class ClassTables {
    private static final Map<String, Idempotency> IDEMPOTENCIES =
            NamedValues.of(
                    entry("safe", Idempotency.IDEMPOTENT),
                    entry("keyed", Idempotency.IDEMPOTENT_WITH_KEY),
                    entry("unsafe", Idempotency.NON_IDEMPOTENT));

    private static final String ANY_KIND = "any";
    private static final int ANY_KIND_INDEX = -1;

    private ClassTables() {}

    /**
     * Reads the tables.
     *
     * @param kinds the machine kinds, to one of which a class may be restricted
     */
    static List<TaskClass> read(Section root, List<MachineKind> kinds) {
        List<String> kindNames = kinds.stream().map(MachineKind::name).toList();
        List<TaskClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Section section : root.tables("class")) {
            String name = section.requiredText("name");
            if (!names.add(name)) {
                section.complain("name", "class " + name + " is already defined");
            }
            classes.add(taskClass(section, name, kindNames));
        }
        return classes;
    }

    private static TaskClass taskClass(Section section, String name, List<String> kindNames) {
        Idempotency idempotency = section.requiredChoice("effect", IDEMPOTENCIES);
        TopologyScope keyScope = section.choice("key-scope", NamedValues.SCOPES, TopologyScope.ALL);
        long keyWindowMicros = keyWindowMicros(section, idempotency);
        long latencyObjectiveMicros = section.millis("aim-ms", 1, HOUR_MILLIS, 1_000);
        long deadlineMicros = deadlineMicros(section, latencyObjectiveMicros);
        int requiredKind = requiredKind(section, kindNames);
        TopologyScope spreadScope =
                section.choice("spread", NamedValues.SCOPES, TopologyScope.NONE);
        int maxTasksPerScope = maxTasksPerScope(section, spreadScope);
        return new TaskClass(
                name,
                idempotency,
                keyScope,
                keyWindowMicros,
                latencyObjectiveMicros,
                deadlineMicros,
                section.number("worth", 0, 1e6, 1),
                section.number("late-worth", 0, 1, 0.1),
                section.number("start-seconds", 0, 1e4, 12),
                section.number("calm", 0.01, 1, 0.8),
                section.number("fade", 0, 1, 0.2),
                section.whole("priority", 0, 1_000, 0),
                requiredKind,
                spreadScope,
                maxTasksPerScope);
    }

    private static long keyWindowMicros(Section section, Idempotency idempotency) {
        String key = "key-window-ms";
        return idempotency == Idempotency.IDEMPOTENT_WITH_KEY
                ? section.requiredMillis(key, 0, HOUR_MILLIS)
                : section.millis(key, 0, HOUR_MILLIS, 0);
    }

    private static long deadlineMicros(Section section, long latencyObjectiveMicros) {
        long deadlineMicros = section.requiredMillis("deadline-ms", 1, DAY_MILLIS);
        if (deadlineMicros < latencyObjectiveMicros) {
            section.complain("deadline-ms", "must not be less than aim-ms");
        }
        return Math.max(1, deadlineMicros);
    }

    private static int requiredKind(Section section, List<String> kindNames) {
        String kind = section.text("kind", ANY_KIND);
        int index = kindNames.indexOf(kind);
        if (index >= 0) {
            return index;
        }
        if (!kind.equals(ANY_KIND)) {
            section.complain("kind", "no kind " + kind + " is defined in this file");
        }
        return ANY_KIND_INDEX;
    }

    private static int maxTasksPerScope(Section section, TopologyScope spreadScope) {
        int maxTasks = section.whole("spread-most", 0, 1_000_000, 0);
        if (spreadScope != TopologyScope.NONE && maxTasks == 0) {
            section.complain("spread-most", "must be greater than 0 if spread is set");
        }
        return maxTasks;
    }

    /** Returns a substitute for the classes of a file without any, so that reading can continue. */
    static TaskClass placeholder() {
        return new TaskClass(
                "none",
                Idempotency.IDEMPOTENT,
                TopologyScope.ALL,
                /* keyWindowMicros= */ 0,
                /* latencyObjectiveMicros= */ 1,
                /* deadlineMicros= */ 1,
                /* priorityWeight= */ 1,
                /* lateValue= */ 0,
                /* startSeconds= */ 0,
                /* contentionThreshold= */ 1,
                /* contentionRange= */ 1,
                /* priority= */ 0,
                ANY_KIND_INDEX,
                TopologyScope.NONE,
                /* maxTasksPerScope= */ 0);
    }
}
