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
 * A TOML file that is read value by value. Each value is checked as it is read. Complaints name
 * file, line and key; {@link #check} throws them all together, among them one for each key that was
 * never read.
 */
public final class TomlFile {
    private static final TomlMapper MAPPER = new TomlMapper();
    private static final int MICROS_PER_MILLI = 1_000;

    /** Whole numbers up to this one are printed without a fraction or an exponent. */
    private static final double MAX_PLAIN_NUMBER = 1e15;

    private final String fileName;
    private final TomlLineIndex lineIndex;
    private final List<String> complaints = new ArrayList<>();
    private final Map<String, Section> sectionsByPath =
            new LinkedHashMap<>(); // those that were read
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
     * @throws ConfigException if it cannot be read or is not TOML
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
     * @param file the name that complaints give the text
     * @throws ConfigException if it is not TOML
     */
    public static TomlFile parse(String file, String text) throws ConfigException {
        return new TomlFile(file, text);
    }

    /** The folder to which paths in the file are relative; the working directory for a text. */
    Path directory() {
        Path parent = Path.of(fileName).toAbsolutePath().getParent();
        return parent == null ? Path.of("") : parent;
    }

    /** The keys and tables at the top of the file. */
    public Section root() {
        return root;
    }

    /**
     * To be called after everything was read.
     *
     * @throws ConfigException with all complaints, if there are any
     */
    public void check() throws ConfigException {
        sectionsByPath.values().forEach(Section::complainOfUnknownKeys);
        if (!complaints.isEmpty()) {
            throw new ConfigException(complaints);
        }
    }

    /** The same section each time, so that several readers may share the keys of a table. */
    private Section section(String path, JsonNode node) {
        return sectionsByPath.computeIfAbsent(path, newPath -> new Section(newPath, node));
    }

    /**
     * One table of the file. The methods that read a value complain of one that is missing or out
     * of range, and then return a substitute so that reading can go on until {@link #check}.
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

        /** Records what is wrong with a key of this table. */
        public void complain(String key, String what) {
            String keyPath = pathOf(key);
            int line = lineIndex.lineOf(keyPath, path);
            complaints.add(fileName + ":" + line + ": " + keyPath + ": " + what);
        }

        /** The value of a key, which is known from now on; null if the table does not have it. */
        private JsonNode value(String key) {
            knownKeys.add(key);
            return node.get(key);
        }

        /** Whether the table has a key. */
        public boolean has(String key) {
            return node.has(key);
        }

        /** A table within this one; an empty one if the file does not have it. */
        public Section table(String key) {
            JsonNode value = value(key);
            boolean isTable = value != null && value.isObject();
            if (value != null && !isTable) {
                complain(key, "must be a table");
            }
            return section(pathOf(key), isTable ? value : MAPPER.createObjectNode());
        }

        /** The tables of an array of tables; none if the file does not have it. */
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
         * A text.
         *
         * @param defaultValue the default; null if the key is required
         */
        public String text(String key, String defaultValue) {
            if (defaultValue == null) {
                return requiredText(key);
            }
            JsonNode value = value(key);
            return value == null ? defaultValue : checkedText(key, value, true);
        }

        /** A text that must be there and not be empty. */
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
                complain(key, "must be a text that is not empty");
                return "";
            }
            return value.textValue();
        }

        /**
         * A number within bounds.
         *
         * @param defaultValue the default; NaN if the key is required
         */
        public double number(String key, double min, double max, double defaultValue) {
            if (Double.isNaN(defaultValue)) {
                return requiredNumber(key, min, max);
            }
            JsonNode value = value(key);
            return value == null ? defaultValue : checkedNumber(key, value, min, max);
        }

        /** A number within bounds that must be there. */
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
                String range = "from " + plain(min) + " to " + plain(max);
                complain(key, "must be a number " + range + ", not " + value.asText());
                return min;
            }
            return number;
        }

        /** A whole number within bounds. */
        public int whole(String key, int min, int max, int defaultValue) {
            JsonNode value = value(key);
            if (value != null && value.isNumber() && !value.isIntegralNumber()) {
                complain(key, "must be a whole number, not " + value.asText());
                return defaultValue;
            }
            return (int) number(key, min, max, defaultValue);
        }

        /**
         * A duration: milliseconds in the file, returned in microseconds.
         *
         * @param min the minimum, in milliseconds
         * @param max the maximum, in milliseconds
         * @param defaultValue the default, in milliseconds; NaN if the key is required
         */
        public long millis(String key, long min, long max, double defaultValue) {
            return millisToMicros(number(key, (double) min, (double) max, defaultValue));
        }

        /** A duration that must be there: milliseconds in the file, returned in microseconds. */
        long requiredMillis(String key, long minMillis, long maxMillis) {
            return millisToMicros(requiredNumber(key, (double) minMillis, (double) maxMillis));
        }

        /** True or false. */
        public boolean flag(String key, boolean defaultValue) {
            JsonNode value = value(key);
            if (value != null && !value.isBoolean()) {
                complain(key, "must be true or false");
            }
            return value == null ? defaultValue : value.asBoolean();
        }

        /**
         * One of the constants of an enum, written in lower case with hyphens.
         *
         * @param defaultValue the default; null if the key is required
         */
        public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) {
            Map<String, E> valuesByName = new LinkedHashMap<>();
            for (E constant : type.getEnumConstants()) {
                valuesByName.put(nameOf(constant), constant);
            }
            return choice(key, valuesByName, defaultValue);
        }

        /**
         * One of some named values; the first one if the file has another name.
         *
         * @param valuesByName in the order in which complaints list them
         * @param defaultValue the default; null if the key is required
         */
        public <T> T choice(String key, Map<String, T> valuesByName, T defaultValue) {
            if (defaultValue == null) {
                return requiredChoice(key, valuesByName);
            }
            JsonNode value = value(key);
            return value == null ? defaultValue : checkedChoice(key, value, valuesByName);
        }

        /** One of some named values, which must be there. */
        <T> T requiredChoice(String key, Map<String, T> valuesByName) {
            JsonNode value = value(key);
            if (value == null) {
                complain(key, "is missing; one of " + String.join(", ", valuesByName.keySet()));
                return valuesByName.values().iterator().next();
            }
            return checkedChoice(key, value, valuesByName);
        }

        private <T> T checkedChoice(String key, JsonNode value, Map<String, T> valuesByName) {
            T chosen = value.isTextual() ? valuesByName.get(value.textValue()) : null;
            if (chosen == null) {
                String known = String.join(", ", valuesByName.keySet());
                complain(key, "must be one of " + known + ", not " + value.asText());
                return valuesByName.values().iterator().next();
            }
            return chosen;
        }

        private void complainOfUnknownKeys() {
            String known = String.join(", ", knownKeys.stream().sorted().toList());
            node.fieldNames()
                    .forEachRemaining(
                            key -> {
                                if (!knownKeys.contains(key)) {
                                    complain(key, "is not known; known here: " + known);
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

    private static String plain(double number) {
        boolean whole = number == Math.rint(number) && Math.abs(number) < MAX_PLAIN_NUMBER;
        return whole ? Long.toString((long) number) : Double.toString(number);
    }
}
