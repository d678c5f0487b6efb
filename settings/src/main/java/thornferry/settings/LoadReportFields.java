package thornferry.settings;

import java.util.List;
import java.util.function.ToDoubleFunction;
import thornferry.decisions.placement.LoadReport;

/**
 * The fields of load reports, as the settings name and order them. Fields with unknown names are
 * ignored.
 */
public final class LoadReportFields {
    private static final String FREE_CORES = "x0";
    private static final String FREE_MEMORY = "x1";
    private static final String BUSY_FRACTION = "cpu";
    private static final String QUEUE_LENGTH = "waiting";

    private final List<String> names;

    /**
     * @param names the names of the fields of every report, in order
     */
    public LoadReportFields(List<String> names) {
        this.names = List.copyOf(names);
    }

    /**
     * Reads a report whose values are in the order of the names.
     *
     * @param values the values; values missing at the end are unknown
     */
    public LoadReport fromArray(double[] values) {
        return from(
                name -> {
                    int index = names.indexOf(name);
                    return index < values.length ? values[index] : LoadReport.UNKNOWN;
                });
    }

    /**
     * Reads a report whose values are looked up by name.
     *
     * @param values returns the value of a field, or {@link LoadReport#UNKNOWN} if the report does
     *     not have it; called only with names that occur in the settings
     */
    public LoadReport from(ToDoubleFunction<String> values) {
        return new LoadReport(
                value(values, FREE_CORES),
                value(values, FREE_MEMORY),
                value(values, BUSY_FRACTION),
                value(values, QUEUE_LENGTH));
    }

    private double value(ToDoubleFunction<String> values, String name) {
        return names.contains(name) ? values.applyAsDouble(name) : LoadReport.UNKNOWN;
    }
}
