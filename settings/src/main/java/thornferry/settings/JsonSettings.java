package thornferry.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;

/** Access to single settings of a JSON object. */
final class JsonSettings {
    private JsonSettings() {}

    /**
     * A setting that must be there.
     *
     * @throws SettingsException if it is missing or null
     */
    static JsonNode required(JsonNode object, String key) throws SettingsException {
        JsonNode value = object.path(key);
        if (isAbsent(value)) {
            throw new SettingsException("setting " + key + " is missing");
        }
        return value;
    }

    /**
     * A setting whose value is one of some words.
     *
     * @throws SettingsException if it is missing or has another value
     */
    static <T> T requiredChoice(Map<String, T> words, JsonNode object, String key)
            throws SettingsException {
        return chosen(words, object.path(key), key);
    }

    /**
     * A setting whose value is one of some words, or which is missing.
     *
     * @throws SettingsException if it has another value
     */
    static <T> T choice(Map<String, T> words, JsonNode object, String key, T defaultValue)
            throws SettingsException {
        JsonNode value = object.path(key);
        return isAbsent(value) ? defaultValue : chosen(words, value, key);
    }

    private static <T> T chosen(Map<String, T> words, JsonNode value, String key)
            throws SettingsException {
        T chosen = isAbsent(value) ? null : words.get(value.asText());
        if (chosen == null) {
            throw new SettingsException("setting " + key + " has unknown value " + value.asText());
        }
        return chosen;
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isNull() || value.isMissingNode();
    }
}
