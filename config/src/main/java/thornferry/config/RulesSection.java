package thornferry.config;

import static thornferry.config.Durations.HOUR_MILLIS;
import static thornferry.config.Durations.MINUTE_MILLIS;

import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.Rules;

/** The table {@code [rules]}: grace periods, and the slow start of nodes. */
final class RulesSection {
    private RulesSection() {}

    static Rules read(Section root) {
        Section section = root.table("rules");
        return new Rules(
                section.millis("answer-grace-ms", 0, MINUTE_MILLIS, 8),
                section.millis("drain-grace-ms", 0, MINUTE_MILLIS, 500),
                /* listRequestDeadlineMicros= */ 0,
                section.number("cold-from", 0, 1, 0.25),
                section.millis("ramp-ms", 0, HOUR_MILLIS, 15_000),
                section.number("cold-multiple", 0, 1e6, 2),
                section.millis("cold-window-ms", 0, HOUR_MILLIS, 3_000),
                section.number("cold-offers", 0, 1e9, 48));
    }
}
