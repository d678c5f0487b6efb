package thornferry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** Reads single settings of a JSON object. */
final class JsonSettings {
    private JsonSettings() {}

    /**
     * Returns the value of a required setting.
     *
     * @throws SettingsException if the setting is missing or null
     */
    static JsonNode required(JsonNode object, String key) throws SettingsException {
        JsonNode value = object.path(key);
        if (isAbsent(value)) {
            throw new SettingsException("setting " + key + " is missing");
        }
        return value;
    }

    /**
     * Returns the constant that the value of a required setting names.
     *
     * @param constantsByName the allowed values of the setting, and their constants
     * @throws SettingsException if the setting is missing or has another value
     */
    static <T> T requiredChoice(Map<String, T> constantsByName, JsonNode object, String key)
            throws SettingsException {
        return constantNamed(constantsByName, object.path(key), key);
    }

    /**
     * Returns the constant that the value of an optional setting names, or the default value if the
     * setting is missing or null.
     *
     * @param constantsByName the allowed values of the setting, and their constants
     * @throws SettingsException if the setting has another value
     */
    static <T> T choice(Map<String, T> constantsByName, JsonNode object, String key, T defaultValue)
            throws SettingsException {
        JsonNode value = object.path(key);
        return isAbsent(value) ? defaultValue : constantNamed(constantsByName, value, key);
    }

    private static <T> T constantNamed(Map<String, T> constantsByName, JsonNode value, String key)
            throws SettingsException {
        T constant = isAbsent(value) ? null : constantsByName.get(value.asText());
        if (constant == null) {
            throw new SettingsException("setting " + key + " has unknown value " + value.asText());
        }
        return constant;
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isNull() || value.isMissingNode();
    }
}
