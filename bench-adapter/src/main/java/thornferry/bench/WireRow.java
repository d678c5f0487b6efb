package thornferry.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Map;

/**
 * A row of values: a message, or an entry of a machine list.
 *
 * @param message the name of the message that contains the row, for errors
 * @param values the JSON array of the values
 */
record WireRow(String message, JsonNode values) {

    /**
     * A column of a row.
     *
     * @param index from 0
     * @param wireName the column's name in the simulator's specification, for errors
     */
    record Column(int index, String wireName) {}

    /** Returns the value of a column; a missing node if the row is too short to have it. */
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
            throw error(column, "not an integer");
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
            throw error(column, "not a string");
        }
        return value.textValue();
    }

    String textOr(Column column, String defaultValue) throws WireException {
        return isAbsent(column) ? defaultValue : text(column);
    }

    /** Returns the boolean value of a column; false if it is absent. */
    boolean flag(Column column) throws WireException {
        JsonNode value = value(column);
        if (!isAbsent(column) && !value.isBoolean()) {
            throw error(column, "not a boolean");
        }
        return value.asBoolean();
    }

    /**
     * Returns the constant that the value of a column names.
     *
     * @param constantsByName the allowed values of the column, and their constants
     */
    <T> T choice(Column column, Map<String, T> constantsByName) throws WireException {
        String name = text(column);
        T constant = constantsByName.get(name);
        if (constant == null) {
            throw error(column, "unknown value " + name);
        }
        return constant;
    }

    /** Returns an error that names the message and the column. */
    WireException error(Column column, String problem) {
        return new WireException(message + " " + column.wireName() + ": " + problem);
    }

    /** Returns an error that names the message. */
    WireException error(String problem) {
        return new WireException(message + ": " + problem);
    }
}
