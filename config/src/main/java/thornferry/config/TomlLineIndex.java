package thornferry.config;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The line numbers of the tables and keys of a TOML file. The parser does not report them, so they
 * are found by matching each line against patterns. Keys that no pattern matches, such as those of
 * inline tables, have no line number.
 */
final class TomlLineIndex {
    private static final Pattern HEADER =
            Pattern.compile("\\s*(?<bracket>\\[\\[?)\\s*(?<table>[^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY = Pattern.compile("\\s*(?<key>[A-Za-z0-9_\"'.-]+)\\s*=.*");
    private static final String ARRAY_BRACKET = "[[";

    private final Map<String, Integer> linesByPath = new HashMap<>();
    private final Map<String, Integer> tableCountsByArray = new HashMap<>();

    TomlLineIndex(String text) {
        String table = "";
        int lineNumber = 0;
        for (String line : text.split("\n", -1)) {
            lineNumber++;
            Matcher header = HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            if (header.matches()) {
                table = tablePath(header);
                linesByPath.putIfAbsent(table, lineNumber);
            } else if (key.matches()) {
                String prefix = table.isEmpty() ? "" : table + ".";
                linesByPath.putIfAbsent(prefix + key.group("key"), lineNumber);
            }
        }
    }

    private String tablePath(Matcher header) {
        String table = header.group("table");
        if (!header.group("bracket").equals(ARRAY_BRACKET)) {
            return table;
        }
        int index = tableCountsByArray.merge(table, 1, Integer::sum) - 1;
        return table + "[" + index + "]";
    }

    /** Returns the line of a key, or else of its table, counted from 1; 0 if neither was found. */
    int lineOf(String keyPath, String tablePath) {
        return linesByPath.getOrDefault(keyPath, linesByPath.getOrDefault(tablePath, 0));
    }
}
