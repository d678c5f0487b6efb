package thornferry.config;

import static thornferry.config.Durations.HOUR_MILLIS;

import thornferry.config.TomlFile.Section;

/**
 * The range of the Retry-After that is sent to clients, from the keys {@code retry-least-ms} and
 * {@code retry-most-ms} of a table.
 *
 * @param minMicros minimum
 * @param maxMicros maximum, not less than {@code minMicros}
 */
record RetryAfterRange(long minMicros, long maxMicros) {
    static RetryAfterRange read(Section section, double defaultMinMillis, double defaultMaxMillis) {
        long minMicros = section.millis("retry-least-ms", 1, HOUR_MILLIS, defaultMinMillis);
        long maxMicros = section.millis("retry-most-ms", 1, HOUR_MILLIS, defaultMaxMillis);
        if (maxMicros < minMicros) {
            section.complain("retry-most-ms", "must not be less than retry-least-ms");
        }
        return new RetryAfterRange(minMicros, Math.max(minMicros, maxMicros));
    }
}
