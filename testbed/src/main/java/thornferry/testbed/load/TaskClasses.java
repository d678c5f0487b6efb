package thornferry.testbed.load;

import java.util.Map;

/** The task classes of the measured site, as its configuration names them. */
final class TaskClasses {
    /** Idempotent, with priority weight 1. */
    static final String GAUGE_RELAY = "gauge-relay";

    /** Idempotent with an idempotency key, with priority weight 5. */
    static final String DEPOT_SYNC = "depot-sync";

    /** Not idempotent, with priority weight 2. */
    static final String LEVY_RUN = "levy-run";

    /** How long emulated nodes reject a reused idempotency key, by task class. */
    static final Map<String, Long> KEY_WINDOW_MICROS = Map.of(DEPOT_SYNC, 5_000_000L);

    private TaskClasses() {}
}
