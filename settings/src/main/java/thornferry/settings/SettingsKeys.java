package thornferry.settings;

import java.util.Map;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * The keys and named values of the settings object, as its specification defines them. The name of
 * each constant is the term that the code uses. Times are in microseconds unless the name of the
 * constant has another unit.
 */
final class SettingsKeys {
    // sections
    static final String FAMILY = "familyInfo";
    static final String LOAD_REPORTS = "loadInfo";
    static final String LIMITS = "allowed";
    static final String COST_WEIGHTS = "prices";
    static final String RULES = "rules";
    static final String CLASSES = "grades";
    static final String MACHINE_KINDS = "hostTypes";
    static final String TENANTS = "projects";

    // top level
    static final String INSTANCE_INDEX = "myNumber";
    static final String INSTANCE_COUNT = "instances";
    static final String ZONE = "zone";
    static final String LIST_DISCOVERY = "discovery";
    static final String OVER_QUOTA_WEIGHT = "overShareWorth";

    // LOAD_REPORTS
    static final String LOAD_REPORT_MODE = "how";
    static final String LOAD_REPORT_FIELDS = "names";

    // COST_WEIGHTS
    static final String FLEET_COST = "fleet";
    static final String MIGRATION_COST = "moves";
    static final String WASTE_COST = "waste";
    static final String CROSS_ZONE_COST = "crossZone";
    static final String HEALTH_CHECK_COST = "probe";
    static final String LIST_ENTRY_COST = "discovery";

    // RULES
    static final String ANSWER_GRACE = "graceToAnswer";
    static final String DRAIN_GRACE = "stopSendingWithin";
    static final String LIST_REQUEST_DEADLINE = "mustAskIn";
    static final String SLOW_START_INITIAL_SHARE = "coldFrom";
    static final String SLOW_START_TIME = "rampTime";
    static final String SLOW_START_MULTIPLE = "fallMultiple";
    static final String SLOW_START_WINDOW = "fall";

    // LIMITS
    static final String HEALTH_CHECKS_ALLOWED = "probes";
    static final String CANCELLATION_ALLOWED = "cancelling";
    static final String RETRY_AFTER_ALLOWED = "retryAfter";
    static final String RETRIES_ALLOWED = "secondCopies";
    static final String MAX_ATTEMPTS = "mostTries";
    static final String MAX_RETRY_AFTER = "maxRetryAfter";

    // CLASSES and TENANTS, arrays with one object for each class or tenant
    static final String NAME = "name";
    static final String CLASS_IDEMPOTENCY = "effect";
    static final String CLASS_KEY_SCOPE = "keyScope";
    static final String CLASS_KEY_WINDOW = "memorySpan";
    static final String CLASS_LATENCY_OBJECTIVE = "aim";
    static final String CLASS_DEADLINE = "deadline";
    static final String CLASS_PRIORITY_WEIGHT = "importance";
    static final String CLASS_LATE_VALUE = "lateWorth";
    static final String TENANT_SHARE = "share";

    // FAMILY, single values
    static final String LIST_SHOWS_FREE_CAPACITY = "view";
    static final String REPORTED_QUANTITY = "counts";
    static final String ACCEPTANCE_CONFIRMATION = "confirms";
    static final String OBSERVES_TASKS = "useNotes";
    static final String PREEMPTS = "displaces";
    static final String SINGLE_PREFERRED_MACHINE = "oneHome";
    static final String CORES_OVERCOMMIT = "admitCores";
    static final String MEMORY_OVERCOMMIT = "acceptsMemory";
    static final String MEAN_TASK_CORES = "meanCores";
    static final String MEAN_TASK_MEMORY = "usualMemory";
    static final String CLIENT_RETRY = "ownerWait";
    static final String REJECTED_OFFER_COST = "turnedDownPrice";
    static final String EVICTION_IN_MIGRATIONS = "evictionAsMoves";
    static final String SLOW_START_OFFERS = "coldSends";

    // FAMILY, arrays with one value for each class
    static final String CLASS_START_SECONDS = "classStartS";
    static final String CLASS_CONTENTION_THRESHOLD = "calmLevel";
    static final String CLASS_CONTENTION_RANGE = "fadesOver";
    static final String CLASS_PRIORITY = "classPriority";
    static final String CLASS_REQUIRED_KIND = "needsKind";
    static final String CLASS_SPREAD_SCOPE = "classSpread";
    static final String CLASS_MAX_TASKS_PER_SCOPE = "spreadMost";

    // FAMILY, arrays with one value for each machine kind, or each tenant
    static final String KIND_CORES = "sizeCores";
    static final String KIND_MEMORY = "memOfKind";
    static final String TENANT_QUOTA_CORES = "shareCores";

    // values
    static final String MEASURED_USAGE = "used";
    static final String DISCOVERY_BY_SUBSCRIPTION = "ask";
    static final String CONFIRMED_WHEN_RUNNING = "running";
    static final String NO_SCOPE = "off";

    static final Map<String, Idempotency> IDEMPOTENCIES =
            Map.of(
                    "read_like",
                    Idempotency.IDEMPOTENT,
                    "idempotency_key",
                    Idempotency.IDEMPOTENT_WITH_KEY,
                    "non_idempotent",
                    Idempotency.NON_IDEMPOTENT);

    static final Map<String, TopologyScope> SCOPES =
            Map.of(
                    NO_SCOPE,
                    TopologyScope.NONE,
                    "machine",
                    TopologyScope.MACHINE,
                    "cell",
                    TopologyScope.CELL,
                    "zone",
                    TopologyScope.ZONE,
                    "all",
                    TopologyScope.ALL);

    static final Map<String, LoadReportMode> LOAD_REPORT_MODES =
            Map.of(
                    "off",
                    LoadReportMode.NONE,
                    "inline",
                    LoadReportMode.WITH_RESPONSES,
                    "on_probe",
                    LoadReportMode.ON_HEALTH_CHECK);

    private SettingsKeys() {}
}
