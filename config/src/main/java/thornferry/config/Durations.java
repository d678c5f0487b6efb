package thornferry.config;

/** The upper bounds of durations in the configuration. */
final class Durations {
    static final long MINUTE_MILLIS = 60_000;
    static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
    static final long DAY_MILLIS = 24 * HOUR_MILLIS;

    private Durations() {}
}
