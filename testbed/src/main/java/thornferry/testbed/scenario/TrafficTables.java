package thornferry.testbed.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;

/**
 * The tables {@code [[traffic]]}. They are read before the site's tables, so that a file's
 * complaints come together, and checked against the site's task classes afterwards.
 */
final class TrafficTables {
    private static final double MIN_SIZE = 1e-3;
    private static final double MAX_SIZE = 1e6;
    private static final double MAX_MILLIS = 1e9;

    private record Entry(Section section, TrafficStream stream) {}

    private final List<Entry> entries;

    private TrafficTables(List<Entry> entries) {
        this.entries = entries;
    }

    static TrafficTables read(List<Section> sections) {
        return new TrafficTables(
                sections.stream().map(section -> new Entry(section, stream(section))).toList());
    }

    private static TrafficStream stream(Section section) {
        double minCores = section.number("cores-least", MIN_SIZE, MAX_SIZE, 0.5);
        double minMemory = section.number("memory-least", MIN_SIZE, MAX_SIZE, 1);
        long minRunMillis = (long) section.number("runs-least-ms", 1, MAX_MILLIS, 1_000);
        return new TrafficStream(
                section.text("class", null),
                section.number("per-second", 0.001, 1e6, 1),
                section.whole("services", 1, 10_000, 4),
                new UniformRange(
                        minCores, section.number("cores-most", minCores, MAX_SIZE, minCores)),
                new UniformRange(
                        minMemory, section.number("memory-most", minMemory, MAX_SIZE, minMemory)),
                new UniformRange(minRunMillis, maxRunMillis(section, (double) minRunMillis)),
                maxWaitMillis(section),
                section.whole("asks", 1, 100, 4));
    }

    private static long maxRunMillis(Section section, double minRunMillis) {
        return (long) section.number("runs-most-ms", minRunMillis, MAX_MILLIS, minRunMillis);
    }

    private static OptionalLong maxWaitMillis(Section section) {
        String key = "patience-ms";
        return section.has(key)
                ? OptionalLong.of((long) section.number(key, 0, MAX_MILLIS, 0))
                : OptionalLong.empty();
    }

    /** The streams; each whose class the site lacks also gives a complaint. */
    List<TrafficStream> resolve(Placement.Settings placement) {
        List<String> classNames =
                placement.classes().stream().map(Placement.TaskClass::name).toList();
        List<TrafficStream> streams = new ArrayList<>();
        for (Entry entry : entries) {
            String taskClass = entry.stream().taskClass();
            if (!classNames.contains(taskClass)) {
                entry.section().complain("class", "no class " + taskClass + " stands in this file");
            }
            streams.add(entry.stream());
        }
        return streams;
    }
}
