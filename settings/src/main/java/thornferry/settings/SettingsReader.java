package thornferry.settings;

import static thornferry.settings.JsonSettings.choice;
import static thornferry.settings.JsonSettings.required;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.placement.Placement.CostWeights;
import thornferry.decisions.placement.Placement.Limits;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.Rules;
import thornferry.decisions.placement.Placement.Settings;

/** Reads the settings object of a placement module. */
public final class SettingsReader {
    private final JsonNode settings;
    private final JsonNode family;

    private SettingsReader(JsonNode settings) {
        this.settings = settings;
        family = settings.path(SettingsKeys.FAMILY);
    }

    /**
     * Reads the settings object.
     *
     * @param settings the JSON object that an instance receives at its start; unknown keys are
     *     ignored
     * @param seed the seed of the module's random numbers
     * @throws SettingsException if a setting is missing or invalid
     */
    public static Settings read(JsonNode settings, long seed) throws SettingsException {
        if (!settings.isObject()) {
            throw new SettingsException("the settings must be a JSON object");
        }
        try {
            return new SettingsReader(settings).read(seed);
        } catch (IllegalArgumentException e) { // from the records, which validate values
            throw new SettingsException(e.getMessage());
        }
    }

    /** Returns the fields of load reports that the settings name, which may be none. */
    public static LoadReportFields loadReportFields(JsonNode settings) {
        List<String> names = new ArrayList<>();
        settings.path(SettingsKeys.LOAD_REPORTS)
                .path(SettingsKeys.LOAD_REPORT_FIELDS)
                .forEach(name -> names.add(name.asText()));
        return new LoadReportFields(names);
    }

    private Settings read(long seed) throws SettingsException {
        CatalogReader catalog = new CatalogReader(settings);
        return new Settings(
                seed,
                required(settings, SettingsKeys.INSTANCE_INDEX).intValue(),
                required(settings, SettingsKeys.INSTANCE_COUNT).intValue(),
                settings.path(SettingsKeys.ZONE).asText(),
                catalog.classes(),
                catalog.machineKinds(),
                catalog.tenants(),
                loadReportMode(),
                hasValue(family, SettingsKeys.REPORTED_QUANTITY, SettingsKeys.MEASURED_USAGE),
                family.path(SettingsKeys.LIST_SHOWS_FREE_CAPACITY).asBoolean(),
                hasValue(
                        settings,
                        SettingsKeys.LIST_DISCOVERY,
                        SettingsKeys.DISCOVERY_BY_SUBSCRIPTION),
                hasValue(
                        family,
                        SettingsKeys.ACCEPTANCE_CONFIRMATION,
                        SettingsKeys.CONFIRMED_WHEN_RUNNING),
                family.path(SettingsKeys.OBSERVES_TASKS).asBoolean(),
                family.path(SettingsKeys.PREEMPTS).asBoolean(),
                family.path(SettingsKeys.SINGLE_PREFERRED_MACHINE).asBoolean(),
                family.path(SettingsKeys.CORES_OVERCOMMIT).asDouble(1),
                family.path(SettingsKeys.MEMORY_OVERCOMMIT).asDouble(1),
                family.path(SettingsKeys.MEAN_TASK_CORES).asDouble(1),
                family.path(SettingsKeys.MEAN_TASK_MEMORY).asDouble(1),
                settings.path(SettingsKeys.OVER_QUOTA_WEIGHT).asDouble(1),
                family.path(SettingsKeys.CLIENT_RETRY).asLong(),
                costWeights(),
                rules(),
                limits());
    }

    private LoadReportMode loadReportMode() throws SettingsException {
        return choice(
                SettingsKeys.LOAD_REPORT_MODES,
                settings.path(SettingsKeys.LOAD_REPORTS),
                SettingsKeys.LOAD_REPORT_MODE,
                LoadReportMode.NONE);
    }

    private static boolean hasValue(JsonNode object, String key, String value) {
        return object.path(key).asText().equals(value);
    }

    private CostWeights costWeights() {
        JsonNode costs = settings.path(SettingsKeys.COST_WEIGHTS);
        return new CostWeights(
                costs.path(SettingsKeys.FLEET_COST).asDouble(),
                costs.path(SettingsKeys.MIGRATION_COST).asDouble(),
                costs.path(SettingsKeys.WASTE_COST).asDouble(),
                costs.path(SettingsKeys.CROSS_ZONE_COST).asDouble(),
                costs.path(SettingsKeys.HEALTH_CHECK_COST).asDouble(),
                costs.path(SettingsKeys.LIST_ENTRY_COST).asDouble(),
                family.path(SettingsKeys.REJECTED_OFFER_COST).asDouble(),
                family.path(SettingsKeys.EVICTION_IN_MIGRATIONS).asDouble());
    }

    private Rules rules() {
        JsonNode rules = settings.path(SettingsKeys.RULES);
        return new Rules(
                rules.path(SettingsKeys.ANSWER_GRACE).asLong(),
                rules.path(SettingsKeys.DRAIN_GRACE).asLong(),
                rules.path(SettingsKeys.LIST_REQUEST_DEADLINE).asLong(),
                rules.path(SettingsKeys.SLOW_START_INITIAL_SHARE).asDouble(),
                rules.path(SettingsKeys.SLOW_START_TIME).asLong(),
                rules.path(SettingsKeys.SLOW_START_MULTIPLE).asDouble(),
                rules.path(SettingsKeys.SLOW_START_WINDOW).asLong(),
                family.path(SettingsKeys.SLOW_START_OFFERS).asDouble());
    }

    private Limits limits() throws SettingsException {
        JsonNode limits = settings.path(SettingsKeys.LIMITS);
        return new Limits(
                limits.path(SettingsKeys.HEALTH_CHECKS_ALLOWED).asBoolean(),
                limits.path(SettingsKeys.CANCELLATION_ALLOWED).asBoolean(),
                limits.path(SettingsKeys.RETRY_AFTER_ALLOWED).asBoolean(),
                limits.path(SettingsKeys.RETRIES_ALLOWED).asBoolean(),
                required(limits, SettingsKeys.MAX_ATTEMPTS).intValue(),
                limits.path(SettingsKeys.MAX_RETRY_AFTER).asLong());
    }
}
