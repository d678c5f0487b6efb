package thornferry.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * A TOML file whose values are validated as they are read. Each error names file, line and key.
 * {@link #check} throws all errors together, including one for each key that was never read.
 */
public final class TomlFile {
    private static final TomlMapper MAPPER = new TomlMapper();
    private static final int MICROS_PER_MILLI = 1_000;

    /** Whole numbers below this one are printed without a fraction or an exponent. */
    private static final double MAX_PLAIN_NUMBER = 1e15;

    private final String fileName;
    private final TomlLineIndex lineIndex;
    private final List<String> complaints = new ArrayList<>();

    /** The sections that have been read, in the order of their first use. */
    private final Map<String, Section> sectionsByPath = new LinkedHashMap<>();

    private final Section root;

    private TomlFile(String fileName, String text) throws ConfigException {
        this.fileName = fileName;
        lineIndex = new TomlLineIndex(text);
        try {
            root = new Section("", MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new ConfigException(
                    List.of(fileName + ":" + line + ": not TOML: " + e.getOriginalMessage()));
        }
        sectionsByPath.put("", root);
    }

    /**
     * Reads a file.
     *
     * @throws ConfigException if the file cannot be read or is not TOML
     */
    public static TomlFile read(Path path) throws ConfigException {
        try {
            return parse(path.toString(), Files.readString(path));
        } catch (NoSuchFileException e) {
            throw new ConfigException(List.of(path + ": no such file"));
        } catch (IOException e) {
            throw new ConfigException(List.of(path + ": cannot be read: " + e.getMessage()));
        }
    }

    /**
     * Parses a text.
     *
     * @param file name of the text in error messages
     * @throws ConfigException if the text is not TOML
     */
    public static TomlFile parse(String file, String text) throws ConfigException {
        return new TomlFile(file, text);
    }

    /**
     * Returns the directory to which paths in the file are relative. For a text without a file,
     * this is the working directory.
     */
    Path directory() {
        Path parent = Path.of(fileName).toAbsolutePath().getParent();
        return parent == null ? Path.of("") : parent;
    }

    /** Returns the section with the top-level keys and tables. */
    public Section root() {
        return root;
    }

    /**
     * Throws all errors that were found. Call this method after all values have been read, because
     * a key that has not been read counts as unknown.
     *
     * @throws ConfigException if there are any errors
     */
    public void check() throws ConfigException {
        sectionsByPath.values().forEach(Section::complainAboutUnknownKeys);
        if (!complaints.isEmpty()) {
            throw new ConfigException(complaints);
        }
    }

    /** Returns the same section for the same path, so that several readers can share a table. */
    private Section section(String path, JsonNode node) {
        return sectionsByPath.computeIfAbsent(path, newPath -> new Section(newPath, node));
    }

    /**
     * One table of the file. A method that reads a missing or invalid value records an error and
     * returns a substitute, so that reading can continue until {@link #check}.
     */
    public final class Section {
        private final String path;
        private final JsonNode node;
        private final Set<String> knownKeys = new HashSet<>();

        private Section(String path, JsonNode node) {
            this.path = path;
            this.node = node;
        }

        private String pathOf(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        /**
         * Records an error at a key of this table.
         *
         * @param problem what is wrong with the value, or what is expected of it
         */
        public void complain(String key, String problem) {
            String keyPath = pathOf(key);
            int line = lineIndex.lineOf(keyPath, path);
            complaints.add(fileName + ":" + line + ": " + keyPath + ": " + problem);
        }

        /** Marks a key as known and returns its value; null if the key is absent. */
        private JsonNode value(String key) {
            knownKeys.add(key);
            return node.get(key);
        }

        /** Returns whether the table has a key. */
        public boolean has(String key) {
            return node.has(key);
        }

        /** Returns a table within this one; an empty table if it is absent. */
        public Section table(String key) {
            JsonNode value = value(key);
            boolean isTable = value != null && value.isObject();
            if (value != null && !isTable) {
                complain(key, "must be a table");
            }
            return section(pathOf(key), isTable ? value : MAPPER.createObjectNode());
        }

        /** Returns the tables of an array of tables; an empty list if it is absent. */
        public List<Section> tables(String key) {
            List<Section> tables = new ArrayList<>();
            JsonNode value = value(key);
            if (value != null && !value.isArray()) {
                complain(key, "must be an array of tables: [[" + pathOf(key) + "]]");
            } else if (value != null) {
                for (JsonNode table : value) {
                    tables.add(section(pathOf(key) + "[" + tables.size() + "]", table));
                }
            }
            return tables;
        }

        /**
         * Returns a string.
         *
         * @param defaultValue value if the key is absent; null if the key is required
         */
        public String text(String key, String defaultValue) {
            if (defaultValue == null) {
                return requiredText(key);
            }
            JsonNode value = value(key);
            return value == null ? defaultValue : checkedText(key, value, true);
        }

        /** Returns a string that is required and must not be empty. */
        String requiredText(String key) {
            JsonNode value = value(key);
            if (value == null) {
                complain(key, "is missing");
                return "";
            }
            return checkedText(key, value, false);
        }

        private String checkedText(String key, JsonNode value, boolean mayBeEmpty) {
            if (!value.isTextual() || (value.textValue().isEmpty() && !mayBeEmpty)) {
                complain(key, "must be a non-empty string");
                return "";
            }
            return value.textValue();
        }

        /**
         * Returns a number within bounds.
         *
         * @param defaultValue value if the key is absent; NaN if the key is required
         */
        public double number(String key, double min, double max, double defaultValue) {
            if (Double.isNaN(defaultValue)) {
                return requiredNumber(key, min, max);
            }
            JsonNode value = value(key);
            return value == null ? defaultValue : checkedNumber(key, value, min, max);
        }

        /** Returns a required number within bounds. */
        double requiredNumber(String key, double min, double max) {
            JsonNode value = value(key);
            if (value == null) {
                complain(key, "is missing");
                return min;
            }
            return checkedNumber(key, value, min, max);
        }

        private double checkedNumber(String key, JsonNode value, double min, double max) {
            double number = value.doubleValue();
            if (!value.isNumber() || !(number >= min && number <= max)) {
                String range = "from " + formatNumber(min) + " to " + formatNumber(max);
                complain(key, "must be a number " + range + ", not " + value.asText());
                return min;
            }
            return number;
        }

        /** Returns an integer within bounds. */
        public int whole(String key, int min, int max, int defaultValue) {
            JsonNode value = value(key);
            if (value != null && value.isNumber() && !value.isIntegralNumber()) {
                complain(key, "must be a whole number, not " + value.asText());
                return defaultValue;
            }
            return (int) number(key, min, max, defaultValue);
        }

        /**
         * Returns a duration in microseconds, which the file contains in milliseconds.
         *
         * @param min the minimum, in milliseconds
         * @param max the maximum, in milliseconds
         * @param defaultValue value if the key is absent, in milliseconds; NaN if the key is
         *     required
         */
        public long millis(String key, long min, long max, double defaultValue) {
            return millisToMicros(number(key, (double) min, (double) max, defaultValue));
        }

        /** Returns a required duration in microseconds, which the file contains in milliseconds. */
        long requiredMillis(String key, long minMillis, long maxMillis) {
            return millisToMicros(requiredNumber(key, (double) minMillis, (double) maxMillis));
        }

        /** Returns a boolean. */
        public boolean flag(String key, boolean defaultValue) {
            JsonNode value = value(key);
            if (value != null && !value.isBoolean()) {
                complain(key, "must be true or false");
            }
            return value == null ? defaultValue : value.asBoolean();
        }

        /**
         * Returns a constant of an enum, whose name the file contains in lower case with hyphens.
         *
         * @param defaultValue value if the key is absent; null if the key is required
         */
        public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
            Map<String, E> valuesByName = new LinkedHashMap<>();
            for (E constant : type.getEnumConstants()) {
                valuesByName.put(nameOf(constant), constant);
            }
            return choice(key, valuesByName, defaultValue);
        }

        /**
         * Returns one of several named values; the first one if the name in the file is unknown.
         *
         * @param valuesByName values by name, in the order in which error messages list them
         * @param defaultValue value if the key is absent; null if the key is required
         */
        public <T> T choice(String key, Map<String, T> valuesByName, T defaultValue) {
            if (defaultValue == null) {
                return requiredChoice(key, valuesByName);
            }
            JsonNode value = value(key);
            return value == null ? defaultValue : checkedChoice(key, value, valuesByName);
        }

        /** Returns one of several named values; the key is required. */
        <T> T requiredChoice(String key, Map<String, T> valuesByName) {
            JsonNode value = value(key);
            if (value == null) {
                complain(
                        key,
                        "is missing; must be one of " + String.join(", ", valuesByName.keySet()));
                return valuesByName.values().iterator().next();
            }
            return checkedChoice(key, value, valuesByName);
        }

        private <T> T checkedChoice(String key, JsonNode value, Map<String, T> valuesByName) {
            T selected = value.isTextual() ? valuesByName.get(value.textValue()) : null;
            if (selected == null) {
                String validNames = String.join(", ", valuesByName.keySet());
                complain(key, "must be one of " + validNames + ", not " + value.asText());
                return valuesByName.values().iterator().next();
            }
            return selected;
        }

        private void complainAboutUnknownKeys() {
            String knownKeyNames = String.join(", ", knownKeys.stream().sorted().toList());
            node.fieldNames()
                    .forEachRemaining(
                            key -> {
                                if (!knownKeys.contains(key)) {
                                    complain(key, "is not known; known keys: " + knownKeyNames);
                                }
                            });
        }
    }

    private static long millisToMicros(double millis) {
        return Math.round(millis * MICROS_PER_MILLI);
    }

    private static String nameOf(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String formatNumber(double number) {
        boolean whole = number == Math.rint(number) && Math.abs(number) < MAX_PLAIN_NUMBER;
        return whole ? Long.toString((long) number) : Double.toString(number);
    }
}
