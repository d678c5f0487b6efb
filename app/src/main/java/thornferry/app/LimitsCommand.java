package thornferry.app;

import java.io.IOException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.Limits;
import thornferry.protocol.v1.LimitsQuery;
import thornferry.protocol.v1.Reload;

/** Prints quotas and their usage; first reloads the placer's configuration if requested. */
@Command(
        name = "limits",
        description =
                "Lists the quotas of your account and their usage; for operators, those of all"
                        + " tenants and of the site too.",
        footer = {"", "Examples:", "  thornferry limits", "  thornferry limits --reload"})
final class LimitsCommand extends QueryCommand<Limits> {
    private static final String ABSENT = "-";

    @Option(
            names = "--reload",
            description =
                    "Makes the placer reload its configuration file first; if the file is invalid,"
                            + " the configuration in force is kept.")
    private boolean reload;

    @Override
    public Integer call() throws IOException {
        if (reload) {
            int exitCode =
                    client().request(Destinations.RELOAD, Reload.getDefaultInstance(), "reloaded");
            if (exitCode != ExitCode.OK) {
                return exitCode;
            }
        }
        return super.call();
    }

    @Override
    Limits query(PlacerClient client) throws IOException {
        return client.query(
                Destinations.LIMITS, LimitsQuery.getDefaultInstance(), Limits.getDefaultInstance());
    }

    @Override
    void printTable(Limits limits) {
        System.out.printf(
                "%-7s %-16s %15s %15s %17s %17s %10s %6s%n",
                "SCOPE", "NAME", "WAITING", "TASKS", "CORES", "MEMORY", "PER SECOND", "SHARE");
        limits.getUsesList().forEach(LimitsCommand::printRow);
        if (!limits.getLoaded().isEmpty()) {
            System.out.println("last reload: " + limits.getLoaded());
        }
    }

    private static void printRow(Limits.Use use) {
        System.out.printf(
                "%-7s %-16s %15s %15s %17s %17s %10s %5.1f%%%n",
                use.getScope(),
                use.getName().isEmpty() ? ABSENT : use.getName(),
                usage(use.getWaiting(), use.hasMostWaiting(), use.getMostWaiting()),
                usage(use.getTasks(), use.hasMostTasks(), use.getMostTasks()),
                usage(use.getCores(), use.hasMostCores(), use.getMostCores()),
                usage(use.getMemory(), use.hasMostMemory(), use.getMostMemory()),
                use.hasMostPerSecond() ? "of " + formatNumber(use.getMostPerSecond()) : ABSENT,
                100 * use.getShare());
    }

    private static String usage(double used, boolean limited, double limit) {
        return formatNumber(used) + (limited ? " of " + formatNumber(limit) : "");
    }

    /** Formats a whole number without decimals, and any other with two. */
    private static String formatNumber(double value) {
        boolean isWhole = value == Math.rint(value);
        return isWhole ? Long.toString((long) value) : String.format("%.2f", value);
    }
}
