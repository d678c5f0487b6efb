package thornferry.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TOML file read value by value. Each value is checked as it is read, complaints name file, line
 * and key, and {@link #check} raises them all together, keys that nobody asked for among them.
 */
public final class TomlFile {
    private static final TomlMapper MAPPER = new TomlMapper();
    private static final Pattern HEADER =
            Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_\"'.-]+)\\s*=.*");

    private final String file;
    private final Map<String, Integer> lines = new HashMap<>();
    private final List<String> complaints = new ArrayList<>();
    private final Map<String, Section> sections =
            new LinkedHashMap<>(); // by path; all that were read
    private final Section root;

    private TomlFile(String file, String text) throws ConfigException {
        this.file = file;
        number(text);
        try {
            root = new Section("", MAPPER.readTree(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            throw new ConfigException(
                    List.of(file + ":" + line + ": not TOML: " + e.getOriginalMessage()));
        }
        sections.put("", root);
    }

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
     * @param file how complaints name it
     */
    public static TomlFile parse(String file, String text) throws ConfigException {
        return new TomlFile(file, text);
    }

    /**
     * The parser keeps no places, so lines are found by their headers and keys; what it misses has
     * line 0.
     */
    private void number(String text) {
        Map<String, Integer> repeats = new HashMap<>();
        String table = "";
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            if (header.matches()) {
                table = header.group(2);
                if (header.group(1).equals("[[")) {
                    table += "[" + (repeats.merge(table, 1, Integer::sum) - 1) + "]";
                }
                lines.putIfAbsent(table, number);
            } else if (key.matches()) {
                lines.putIfAbsent((table.isEmpty() ? "" : table + ".") + key.group(1), number);
            }
        }
    }

    /** Where the file is, for paths in it; the present directory for a text. */
    Path directory() {
        Path parent = Path.of(file).toAbsolutePath().getParent();
        return parent == null ? Path.of("") : parent;
    }

    public Section root() {
        return root;
    }

    /** Raises all complaints, if there are any. */
    public void check() throws ConfigException {
        sections.values().forEach(Section::unknown);
        if (!complaints.isEmpty()) {
            throw new ConfigException(complaints);
        }
    }

    /** The same one each time, so that several readers may each take their keys of a table. */
    private Section section(String path, JsonNode node) {
        return sections.computeIfAbsent(path, p -> new Section(p, node));
    }

    /** One table of the file. */
    public final class Section {
        private final String path;
        private final JsonNode node;
        private final Set<String> asked = new HashSet<>();

        private Section(String path, JsonNode node) {
            this.path = path;
            this.node = node;
        }

        private String full(String key) {
            return path.isEmpty() ? key : path + "." + key;
        }

        /** Records what is wrong with a key of this table. */
        public void complain(String key, String what) {
            String full = full(key);
            int line = lines.getOrDefault(full, lines.getOrDefault(path, 0));
            complaints.add(file + ":" + line + ": " + full + ": " + what);
        }

        private JsonNode value(String key) {
            asked.add(key);
            return node.get(key);
        }

        public boolean has(String key) {
            return node.has(key);
        }

        /** A table; an empty one where the file has none. */
        public Section table(String key) {
            JsonNode value = value(key);
            if (value != null && !value.isObject()) {
                complain(key, "must be a table");
            }
            return section(
                    full(key),
                    value != null && value.isObject() ? value : MAPPER.createObjectNode());
        }

        /** The tables of an array of tables. */
        public List<Section> tables(String key) {
            List<Section> list = new ArrayList<>();
            JsonNode value = value(key);
            if (value != null && !value.isArray()) {
                complain(key, "must be an array of tables: [[" + full(key) + "]]");
            } else if (value != null) {
                for (JsonNode each : value) {
                    list.add(section(full(key) + "[" + list.size() + "]", each));
                }
            }
            return list;
        }

        /** A text; {@code otherwise} null makes it required. */
        public String text(String key, String otherwise) {
            JsonNode value = value(key);
            if (value == null) {
                if (otherwise == null) {
                    complain(key, "is missing");
                }
                return otherwise == null ? "" : otherwise;
            }
            if (!value.isTextual() || value.textValue().isEmpty() && otherwise == null) {
                complain(key, "must be a text that is not empty");
                return "";
            }
            return value.textValue();
        }

        /** A number within bounds; {@code otherwise} NaN makes it required. */
        public double number(String key, double least, double most, double otherwise) {
            JsonNode value = value(key);
            if (value == null) {
                if (Double.isNaN(otherwise)) {
                    complain(key, "is missing");
                    return least;
                }
                return otherwise;
            }
            if (!value.isNumber()
                    || !(value.doubleValue() >= least && value.doubleValue() <= most)) {
                complain(
                        key,
                        "must be a number from "
                                + plain(least)
                                + " to "
                                + plain(most)
                                + ", not "
                                + value.asText());
                return least;
            }
            return value.doubleValue();
        }

        /** A whole number within bounds. */
        public int whole(String key, int least, int most, int otherwise) {
            JsonNode value = node.get(key);
            if (value != null && value.isNumber() && !value.isIntegralNumber()) {
                asked.add(key);
                complain(key, "must be a whole number, not " + value.asText());
                return otherwise;
            }
            return (int) number(key, least, most, otherwise);
        }

        /** Milliseconds in the file, microseconds as given back. */
        public long millis(String key, long least, long most, double otherwise) {
            return Math.round(number(key, least, most, otherwise) * 1_000);
        }

        public boolean flag(String key, boolean otherwise) {
            JsonNode value = value(key);
            if (value != null && !value.isBoolean()) {
                complain(key, "must be true or false");
            }
            return value == null ? otherwise : value.asBoolean();
        }

        /** One of the constants of an enum, written in lower case with hyphens. */
        public <E extends Enum<E>> E choice(String key, Class<E> of, E otherwise) {
            Map<String, E> words = new LinkedHashMap<>();
            for (E each : of.getEnumConstants()) {
                words.put(word(each), each);
            }
            return choice(key, words, otherwise);
        }

        /**
         * One of some words, each with its value; the first value where what is there is not one of
         * them.
         */
        public <T> T choice(String key, Map<String, T> words, T otherwise) {
            String known = String.join(", ", words.keySet());
            T first = words.values().iterator().next();
            JsonNode value = value(key);
            if (value == null) {
                if (otherwise == null) {
                    complain(key, "is missing; one of " + known);
                }
                return otherwise == null ? first : otherwise;
            }
            T chosen = value.isTextual() ? words.get(value.textValue()) : null;
            if (chosen == null) {
                complain(key, "must be one of " + known + ", not " + value.asText());
                return first;
            }
            return chosen;
        }

        private void unknown() {
            node.fieldNames()
                    .forEachRemaining(
                            key -> {
                                if (!asked.contains(key)) {
                                    complain(
                                            key,
                                            "is not known; known here: "
                                                    + String.join(
                                                            ", ",
                                                            asked.stream().sorted().toList()));
                                }
                            });
        }
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
