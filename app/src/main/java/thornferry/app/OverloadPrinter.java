package thornferry.app;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.OptionalDouble;
import java.util.stream.Collectors;
import thornferry.testbed.load.AnswerTotals;
import thornferry.testbed.load.Fairness;
import thornferry.testbed.load.OverloadOutcome;
import thornferry.testbed.load.OverloadSetup;
import thornferry.testbed.load.RecoveryOutcome;
import thornferry.testbed.load.ReservationOutcome;

/** Prints the results of {@code overload}. */
final class OverloadPrinter {
    private static final double MICROS_PER_MILLI = 1e3;

    private final PrintStream out;

    OverloadPrinter(PrintStream out) {
        this.out = out;
    }

    /** Prints the capacity of the nodes. */
    void printSetup(OverloadSetup setup) {
        out.printf(
                "%d nodes have a capacity of about %.0f tasks per second%n",
                setup.nodeCount(), setup.capacityTasksPerSecond());
    }

    /** Prints the header of the table of {@link #print(OverloadOutcome)}. */
    void printHeader() {
        out.printf(
                "%5s %5s %7s %7s %8s %6s %-18s %9s %7s %7s %10s%n",
                "LOAD",
                "LINE",
                "ASKED",
                "PLACED",
                "WORTH/s",
                "JAIN",
                "SERVED/ENTITLED",
                "P99 ms",
                "EARLY",
                "LATE",
                "UNANSWERED");
    }

    /** Prints a row of the table. */
    void print(OverloadOutcome outcome) {
        AnswerTotals answers = outcome.answers();
        out.printf(
                "%5.1f %5s %7d %7d %8.0f %6.3f %-18s %9.0f %7d %7d %10d%n",
                outcome.load(),
                onOrOff(outcome.admissionQueue()),
                answers.requested(),
                outcome.placed(),
                outcome.priorityWeightPerSecond(),
                outcome.fairness().jainIndex(),
                formatRatios(outcome.fairness()),
                answers.p99Micros() / MICROS_PER_MILLI,
                answers.earlyRejections(),
                answers.lateRejections(),
                answers.unanswered());
    }

    private static String formatRatios(Fairness fairness) {
        return fairness.serviceRatios().stream()
                .map(serviceRatio -> String.format("%.2f", serviceRatio.ratio()))
                .collect(Collectors.joining(" "));
    }

    /** Prints how many large tasks were placed. */
    void print(ReservationOutcome outcome) {
        out.printf(
                "load %.1f, reservations for large tasks %s: %d of %d placed, total priority"
                        + " weight %.0f/s%n",
                outcome.load(),
                onOrOff(outcome.reservations()),
                outcome.placed(),
                outcome.requested(),
                outcome.priorityWeightPerSecond());
    }

    /** Prints how long the recovery from a burst took. */
    void print(RecoveryOutcome outcome) {
        out.printf(
                "burst of %d, admission queue %s: %s%n",
                outcome.burst(),
                onOrOff(outcome.admissionQueue()),
                formatRecovery(outcome.recoverySeconds()));
    }

    private static String formatRecovery(OptionalDouble seconds) {
        return seconds.isPresent()
                ? String.format("recovered after %.1f s", seconds.getAsDouble())
                : String.format(
                        "not recovered within %d s", OverloadCommand.RECOVERY_TIME.toSeconds());
    }

    /** Prints the folder of the charts. */
    void printChartFolder(Path folder) {
        out.println("charts are in " + folder);
    }

    /** Returns the printed form of an option that is enabled or disabled. */
    static String onOrOff(boolean enabled) {
        return enabled ? "on" : "off";
    }
}
