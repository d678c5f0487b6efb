package thornferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Map;

/**
 * A row of values: a message, or an entry of a machine list.
 *
 * @param message the message's name on the wire, for errors
 * @param values a JSON array
 */
record WireRow(String message, JsonNode values) {

    /**
     * A column of a row.
     *
     * @param index from 0
     * @param wireName the name in the specification, for errors
     */
    record Column(int index, String wireName) {}

    /** The value of a column; a missing node where the row is shorter. */
    JsonNode value(Column column) {
        JsonNode value = values.get(column.index());
        return value == null ? MissingNode.getInstance() : value;
    }

    private boolean isAbsent(Column column) {
        JsonNode value = value(column);
        return value.isNull() || value.isMissingNode();
    }

    long integer(Column column) throws WireException {
        JsonNode value = value(column);
        if (!value.isIntegralNumber()) {
            throw error(column, "not a whole number");
        }
        return value.longValue();
    }

    long integerOr(Column column, long defaultValue) throws WireException {
        return isAbsent(column) ? defaultValue : integer(column);
    }

    double numberOr(Column column, double defaultValue) throws WireException {
        if (isAbsent(column)) {
            return defaultValue;
        }
        JsonNode value = value(column);
        if (!value.isNumber()) {
            throw error(column, "not a number");
        }
        return value.doubleValue();
    }

    String text(Column column) throws WireException {
        JsonNode value = value(column);
        if (!value.isTextual()) {
            throw error(column, "not a text");
        }
        return value.textValue();
    }

    String textOr(Column column, String defaultValue) throws WireException {
        return isAbsent(column) ? defaultValue : text(column);
    }

    /** A truth value; false where it is absent. */
    boolean flag(Column column) throws WireException {
        JsonNode value = value(column);
        if (!isAbsent(column) && !value.isBoolean()) {
            throw error(column, "not true or false");
        }
        return value.asBoolean();
    }

    /** One of some words. */
    <T> T choice(Column column, Map<String, T> words) throws WireException {
        String word = text(column);
        T chosen = words.get(word);
        if (chosen == null) {
            throw error(column, "unknown word " + word);
        }
        return chosen;
    }

    /** An error that names the message and the column. */
    WireException error(Column column, String problem) {
        return new WireException(message + " " + column.wireName() + ": " + problem);
    }

    /** An error that names the message. */
    WireException error(String problem) {
        return new WireException(message + ": " + problem);
    }
}
