package thornferry.settings;

import java.util.List;
import java.util.function.ToDoubleFunction;
import thornferry.decisions.placement.LoadReport;

/**
 * The fields of load reports, by their names and positions in the settings. Fields whose names are
 * not known are ignored.
 */
public final class LoadReportFields {
    private static final String FREE_CORES = "x0";
    private static final String FREE_MEMORY = "x1";
    private static final String BUSY_FRACTION = "cpu";
    private static final String QUEUE_LENGTH = "waiting";

    private final List<String> names;

    /**
     * @param names the fields of every report, in order
     */
    public LoadReportFields(List<String> names) {
        this.names = List.copyOf(names);
    }

    /**
     * Reads a report whose values are in the order of the names.
     *
     * @param values the values; those of the last names may be missing and are then unknown
     */
    public LoadReport fromArray(double[] values) {
        return from(
                name -> {
                    int index = names.indexOf(name);
                    return index < values.length ? values[index] : LoadReport.UNKNOWN;
                });
    }

    /**
     * Reads a report whose values are found by name.
     *
     * @param values called only with names of the settings; returns {@link LoadReport#UNKNOWN} for
     *     a value that the report lacks
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
