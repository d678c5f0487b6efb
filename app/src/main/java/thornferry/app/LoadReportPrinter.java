package thornferry.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import java.util.OptionalLong;
import thornferry.state.Durability;
import thornferry.testbed.load.LatencySummary;
import thornferry.testbed.load.LoadReport;
import thornferry.testbed.load.TaskCounts;

/** Prints the measurements of {@code load}, as text or as a line of JSON for each step. */
final class LoadReportPrinter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MICROS_PER_MILLI = 1e3;
    private static final long UNKNOWN_MEGABYTES = -1;

    private final PrintStream out;
    private final int nodeCount;
    private final Durability durability;
    private final boolean json;

    /**
     * Creates a printer.
     *
     * @param nodeCount number of emulated nodes
     * @param durability durability of the placer's journal
     * @param json whether to print JSON
     */
    LoadReportPrinter(PrintStream out, int nodeCount, Durability durability, boolean json) {
        this.out = out;
        this.nodeCount = nodeCount;
        this.durability = durability;
        this.json = json;
    }

    /** Prints the measurements of a step. */
    void print(LoadReport report, PlacerUsage usage) {
        if (json) {
            out.println(toJson(report, usage));
        } else {
            printCounts(report);
            printLatencies(report);
            printUsage(report, usage);
        }
    }

    private ObjectNode toJson(LoadReport report, PlacerUsage usage) {
        TaskCounts counts = report.counts();
        ObjectNode line =
                JSON.createObjectNode()
                        .put("rate", report.tasksPerSecond())
                        .put("nodes", nodeCount)
                        .put("asked", counts.requested())
                        .put("placed", counts.placed())
                        .put("refused", counts.rejected())
                        .put("failed", counts.failed())
                        .put("unanswered", counts.unanswered())
                        .put("excluded", counts.excluded())
                        .put("levyTwice", report.duplicateStarts())
                        .put(
                                "cpuMicrosPerTask",
                                Math.round(usage.cpuMicrosPerTask(counts.requested())))
                        .put("residentMb", usage.residentMegabytes().orElse(UNKNOWN_MEGABYTES));
        line.set("toOfferMicros", toJson(report.toOffer()));
        line.set("toPromisedOfferMicros", toJson(report.toJournaledOffer()));
        line.set("toResultMicros", toJson(report.toResult()));
        return line;
    }

    private static ObjectNode toJson(LatencySummary latencies) {
        return JSON.createObjectNode()
                .put("p50", latencies.p50Micros())
                .put("p99", latencies.p99Micros())
                .put("p999", latencies.p999Micros())
                .put("most", latencies.maxMicros());
    }

    private void printCounts(LoadReport report) {
        TaskCounts counts = report.counts();
        out.printf(
                "rate %.0f/s, %d nodes: %d requests, %d placed, %d rejected, %d failed,"
                        + " %d unanswered, %d excluded from latencies, %d duplicate"
                        + " starts of levy-run%n",
                report.tasksPerSecond(),
                nodeCount,
                counts.requested(),
                counts.placed(),
                counts.rejected(),
                counts.failed(),
                counts.unanswered(),
                counts.excluded(),
                report.duplicateStarts());
    }

    private void printLatencies(LoadReport report) {
        out.printf("  SEND to result %s%n", format(report.toResult()));
        if (report.toOffer().samples() > 0) {
            out.printf("  SEND to offer  %s%n", format(report.toOffer()));
            out.printf(
                    "    keyed and unsafe, journaled first (durability %s): %s%n",
                    durability.name().toLowerCase(Locale.ROOT), format(report.toJournaledOffer()));
        }
    }

    private void printUsage(LoadReport report, PlacerUsage usage) {
        OptionalLong megabytes = usage.residentMegabytes();
        if (megabytes.isPresent()) {
            out.printf(
                    "  placer: %.0f us CPU per task, %d MB resident%n",
                    usage.cpuMicrosPerTask(report.counts().requested()), megabytes.getAsLong());
        }
    }

    private static String format(LatencySummary latencies) {
        return String.format(
                "p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms",
                latencies.p50Micros() / MICROS_PER_MILLI,
                latencies.p99Micros() / MICROS_PER_MILLI,
                latencies.p999Micros() / MICROS_PER_MILLI,
                latencies.maxMicros() / MICROS_PER_MILLI);
    }
}
