package thornferry.config;

import static thornferry.config.Durations.HOUR_MILLIS;

import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement.Limits;

/** The table {@code [limits]}: the actions that the placement module may take for a request. */
final class LimitsSection {
    private LimitsSection() {}

    static Limits read(Section root) {
        Section section = root.table("limits");
        return new Limits(
                section.flag("probes", true),
                /* cancellation= */ true,
                /* retryAfter= */ true,
                /* retries= */ false,
                section.whole("attempts", 1, 100, 4),
                section.millis("most-retry-after-ms", 0, HOUR_MILLIS, 30_000));
    }
}
