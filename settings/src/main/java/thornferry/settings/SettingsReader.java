package thornferry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import thornferry.decisions.placement.Placement.CostWeights;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Limits;
import thornferry.decisions.placement.Placement.LoadReportMode;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.Rules;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.Tenant;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * Reads the settings object, for every way in: the simulator's wire and the configuration of a
 * placer.
 */
public final class SettingsReader {
    private static final Map<String, Idempotency> EFFECTS =
            Map.of(
                    "read_like",
                    Idempotency.IDEMPOTENT,
                    "idempotency_key",
                    Idempotency.IDEMPOTENT_WITH_KEY,
                    "non_idempotent",
                    Idempotency.NON_IDEMPOTENT);
    private static final Map<String, TopologyScope> SCOPES =
            Map.of(
                    "off",
                    TopologyScope.NONE,
                    "machine",
                    TopologyScope.MACHINE,
                    "cell",
                    TopologyScope.CELL,
                    "zone",
                    TopologyScope.ZONE,
                    "all",
                    TopologyScope.ALL);
    private static final Map<String, LoadReportMode> REPORTS =
            Map.of(
                    "off",
                    LoadReportMode.NONE,
                    "inline",
                    LoadReportMode.WITH_RESPONSES,
                    "on_probe",
                    LoadReportMode.ON_HEALTH_CHECK);

    private SettingsReader() {}

    /**
     * Reads the settings object.
     *
     * @param c the object, as an instance gets it at its start; keys that are not known are passed
     *     over
     * @param seed of the module's random numbers
     * @throws SettingsException naming the setting that is missing or cannot be
     */
    public static Settings read(JsonNode c, long seed) throws SettingsException {
        if (!c.isObject()) {
            throw new SettingsException("the settings are not an object");
        }
        JsonNode info = c.path("familyInfo");
        JsonNode load = c.path("loadInfo");
        JsonNode limits = c.path("allowed");
        JsonNode price = c.path("prices");
        JsonNode rules = c.path("rules");
        try {
            return new Settings(
                    seed,
                    need(c, "myNumber").intValue(),
                    need(c, "instances").intValue(),
                    c.path("zone").asText(),
                    classes(c, info),
                    kinds(c, info),
                    tenants(c, info),
                    chosen(REPORTS, load, "how", LoadReportMode.NONE),
                    info.path("counts").asText().equals("used"),
                    info.path("view").asBoolean(),
                    c.path("discovery").asText().equals("ask"),
                    info.path("confirms").asText().equals("running"),
                    info.path("useNotes").asBoolean(),
                    info.path("displaces").asBoolean(),
                    info.path("oneHome").asBoolean(),
                    info.path("admitCores").asDouble(1),
                    info.path("acceptsMemory").asDouble(1),
                    info.path("meanCores").asDouble(1),
                    info.path("usualMemory").asDouble(1),
                    c.path("overShareWorth").asDouble(1),
                    info.path("ownerWait").asLong(),
                    new CostWeights(
                            price.path("fleet").asDouble(),
                            price.path("moves").asDouble(),
                            price.path("waste").asDouble(),
                            price.path("crossZone").asDouble(),
                            price.path("probe").asDouble(),
                            price.path("discovery").asDouble(),
                            info.path("turnedDownPrice").asDouble(),
                            info.path("evictionAsMoves").asDouble()),
                    new Rules(
                            rules.path("graceToAnswer").asLong(),
                            rules.path("stopSendingWithin").asLong(),
                            rules.path("mustAskIn").asLong(),
                            rules.path("coldFrom").asDouble(),
                            rules.path("rampTime").asLong(),
                            rules.path("fallMultiple").asDouble(),
                            rules.path("fall").asLong(),
                            info.path("coldSends").asDouble()),
                    new Limits(
                            limits.path("probes").asBoolean(),
                            limits.path("cancelling").asBoolean(),
                            limits.path("retryAfter").asBoolean(),
                            limits.path("secondCopies").asBoolean(),
                            need(limits, "mostTries").intValue(),
                            limits.path("maxRetryAfter").asLong()));
        } catch (IllegalArgumentException e) {
            throw new SettingsException(e.getMessage());
        }
    }

    /** Reads which fields load reports have; no field where the settings name none. */
    public static LoadReportFields loadReportFields(JsonNode c) {
        List<String> names = new ArrayList<>();
        c.path("loadInfo").path("names").forEach(name -> names.add(name.asText()));
        return new LoadReportFields(names);
    }

    private static List<TaskClass> classes(JsonNode c, JsonNode info) throws SettingsException {
        List<TaskClass> classes = new ArrayList<>();
        for (JsonNode g : c.path("grades")) {
            int i = classes.size();
            classes.add(
                    new TaskClass(
                            need(g, "name").asText(),
                            chosen(EFFECTS, g, "effect", null),
                            chosen(SCOPES, g, "keyScope", TopologyScope.ALL),
                            g.path("memorySpan").asLong(),
                            g.path("aim").asLong(),
                            need(g, "deadline").asLong(),
                            g.path("importance").asDouble(1),
                            g.path("lateWorth").asDouble(),
                            info.path("classStartS").path(i).asDouble(),
                            info.path("calmLevel").path(i).asDouble(1),
                            info.path("fadesOver").path(i).asDouble(1),
                            info.path("classPriority").path(i).asInt(),
                            info.path("needsKind").path(i).asInt(-1),
                            SCOPES.getOrDefault(
                                    info.path("classSpread").path(i).asText("off"),
                                    TopologyScope.NONE),
                            info.path("spreadMost").path(i).asInt()));
        }
        return classes;
    }

    private static List<MachineKind> kinds(JsonNode c, JsonNode info) {
        List<MachineKind> kinds = new ArrayList<>();
        for (JsonNode name : c.path("hostTypes")) {
            int i = kinds.size();
            kinds.add(
                    new MachineKind(
                            name.asText(),
                            info.path("sizeCores").path(i).asDouble(),
                            info.path("memOfKind").path(i).asDouble()));
        }
        return kinds;
    }

    private static List<Tenant> tenants(JsonNode c, JsonNode info) {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonNode t : c.path("projects")) {
            tenants.add(
                    new Tenant(
                            t.path("name").asText(),
                            t.path("share").asDouble(),
                            info.path("shareCores").path(tenants.size()).asDouble()));
        }
        return tenants;
    }

    private static JsonNode need(JsonNode object, String key) throws SettingsException {
        JsonNode node = object.path(key);
        if (node.isNull() || node.isMissingNode()) {
            throw new SettingsException("setting " + key + " is missing");
        }
        return node;
    }

    private static <T> T chosen(Map<String, T> words, JsonNode object, String key, T instead)
            throws SettingsException {
        JsonNode node = object.path(key);
        T value = node.isNull() || node.isMissingNode() ? instead : words.get(node.asText());
        if (value == null) {
            throw new SettingsException("setting " + key + " has unknown value " + node.asText());
        }
        return value;
    }
}
