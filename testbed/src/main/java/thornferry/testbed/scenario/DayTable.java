package thornferry.testbed.scenario;

import java.time.Duration;
import java.util.OptionalDouble;
import thornferry.config.TomlFile.Section;

/** The table {@code [day]}: the duration and the size of a scenario. */
final class DayTable {
    /** The longest scenario, and the latest start of a fault. */
    static final int MAX_SECONDS = 86_400;

    private static final double MAX_SEED = 9e15;

    private DayTable() {}

    static ScenarioSettings read(Section root) {
        Section day = root.table("day");
        return new ScenarioSettings(
                Duration.ofSeconds(day.whole("seconds", 1, MAX_SECONDS, 30)),
                Duration.ofSeconds(day.whole("quiet-seconds", 1, 600, 15)),
                (long) day.number("seed", 0, MAX_SEED, 1),
                day.whole("placers", 1, 100, 1),
                day.whole("node-processes", 0, 100, 0),
                day.whole("clients", 1, 10_000, 5),
                meanDisconnectInterval(day),
                day.flag("tls", false));
    }

    private static OptionalDouble meanDisconnectInterval(Section day) {
        double seconds = day.number("vanish-every-seconds", 0, MAX_SECONDS, 0);
        return seconds > 0 ? OptionalDouble.of(seconds) : OptionalDouble.empty();
    }
}
