package thornferry.settings;

import static thornferry.settings.JsonSettings.choice;
import static thornferry.settings.JsonSettings.required;
import static thornferry.settings.JsonSettings.requiredChoice;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import thornferry.decisions.placement.Placement.MachineKind;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.Tenant;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * Reads the lists of task classes, machine kinds and tenants from the settings. Some values of a
 * class, kind or tenant are in arrays of the {@code FAMILY} section, at the same index as in its
 * list.
 */
final class CatalogReader {
    /** The index that means that a task class may run on any kind of machine. */
    private static final int ANY_KIND = -1;

    private final JsonNode settings;
    private final JsonNode family;

    CatalogReader(JsonNode settings) {
        this.settings = settings;
        family = settings.path(SettingsKeys.FAMILY);
    }

    List<TaskClass> classes() throws SettingsException {
        List<TaskClass> classes = new ArrayList<>();
        for (JsonNode taskClass : settings.path(SettingsKeys.CLASSES)) {
            classes.add(taskClass(taskClass, classes.size()));
        }
        return classes;
    }

    private TaskClass taskClass(JsonNode taskClass, int index) throws SettingsException {
        return new TaskClass(
                required(taskClass, SettingsKeys.NAME).asText(),
                requiredChoice(
                        SettingsKeys.IDEMPOTENCIES, taskClass, SettingsKeys.CLASS_IDEMPOTENCY),
                choice(
                        SettingsKeys.SCOPES,
                        taskClass,
                        SettingsKeys.CLASS_KEY_SCOPE,
                        TopologyScope.ALL),
                taskClass.path(SettingsKeys.CLASS_KEY_WINDOW).asLong(),
                taskClass.path(SettingsKeys.CLASS_LATENCY_OBJECTIVE).asLong(),
                required(taskClass, SettingsKeys.CLASS_DEADLINE).asLong(),
                taskClass.path(SettingsKeys.CLASS_PRIORITY_WEIGHT).asDouble(1),
                taskClass.path(SettingsKeys.CLASS_LATE_VALUE).asDouble(),
                familyValue(SettingsKeys.CLASS_START_SECONDS, index).asDouble(),
                familyValue(SettingsKeys.CLASS_CONTENTION_THRESHOLD, index).asDouble(1),
                familyValue(SettingsKeys.CLASS_CONTENTION_RANGE, index).asDouble(1),
                familyValue(SettingsKeys.CLASS_PRIORITY, index).asInt(),
                familyValue(SettingsKeys.CLASS_REQUIRED_KIND, index).asInt(ANY_KIND),
                spreadScope(index),
                familyValue(SettingsKeys.CLASS_MAX_TASKS_PER_SCOPE, index).asInt());
    }

    /** Returns the spread scope of a class; an unknown value is accepted and means no spreading. */
    private TopologyScope spreadScope(int classIndex) {
        String scopeName =
                familyValue(SettingsKeys.CLASS_SPREAD_SCOPE, classIndex)
                        .asText(SettingsKeys.NO_SCOPE);
        return SettingsKeys.SCOPES.getOrDefault(scopeName, TopologyScope.NONE);
    }

    List<MachineKind> machineKinds() {
        List<MachineKind> kinds = new ArrayList<>();
        for (JsonNode name : settings.path(SettingsKeys.MACHINE_KINDS)) {
            int index = kinds.size();
            kinds.add(
                    new MachineKind(
                            name.asText(),
                            familyValue(SettingsKeys.KIND_CORES, index).asDouble(),
                            familyValue(SettingsKeys.KIND_MEMORY, index).asDouble()));
        }
        return kinds;
    }

    List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonNode tenant : settings.path(SettingsKeys.TENANTS)) {
            int index = tenants.size();
            tenants.add(
                    new Tenant(
                            tenant.path(SettingsKeys.NAME).asText(),
                            tenant.path(SettingsKeys.TENANT_SHARE).asDouble(),
                            familyValue(SettingsKeys.TENANT_QUOTA_CORES, index).asDouble()));
        }
        return tenants;
    }

    private JsonNode familyValue(String key, int index) {
        return family.path(key).path(index);
    }
}
