package thornferry.settings;

import java.util.List;
import java.util.function.ToDoubleFunction;
import thornferry.decisions.placement.LoadReport;

/**
 * The fields of a load report by their names in the settings; fields of other names are ignored.
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
     * A report whose values come in the order of the names; values that are lacking are unknown.
     */
    public LoadReport fromArray(double[] values) {
        return from(
                name -> {
                    int index = names.indexOf(name);
                    return index < values.length ? values[index] : LoadReport.UNKNOWN;
                });
    }

    /** A report whose values are found by name; only names of the settings are asked for. */
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
