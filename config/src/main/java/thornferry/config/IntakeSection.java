package thornferry.config;

import static thornferry.config.Durations.DAY_MILLIS;
import static thornferry.config.Durations.HOUR_MILLIS;

import thornferry.config.TomlFile.Section;
import thornferry.decisions.requests.RequestTracker;

/** The table {@code [intake]}: how many requests and results are tracked, and for how long. */
final class IntakeSection {
    private IntakeSection() {}

    static RequestTracker.Limits read(Section root) {
        Section section = root.table("intake");
        RetryAfterRange retryAfter = RetryAfterRange.read(section, 1_000, 30_000);
        return new RequestTracker.Limits(
                section.whole("in-hand", 1, 10_000_000, 20_000),
                section.whole("kept", 1, 50_000_000, 200_000),
                section.millis("keep-ms", 1, DAY_MILLIS, 120_000),
                section.millis("most-patience-ms", 1, DAY_MILLIS, 600_000),
                section.millis("settle-ms", 0, HOUR_MILLIS, 3_000),
                retryAfter.minMicros(),
                retryAfter.maxMicros());
    }
}
