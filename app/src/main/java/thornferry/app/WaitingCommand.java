package thornferry.app;

import java.io.IOException;
import picocli.CommandLine.Command;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.WaitingQuery;
import thornferry.protocol.v1.WaitingTable;

/** Prints the number of pending tasks for each reason. */
@Command(
        name = "waiting",
        description =
                "Prints how many of your tasks are pending for each reason; for operators, the"
                        + " tasks of all tenants.",
        footer = {"", "Example:", "  thornferry waiting"})
final class WaitingCommand extends QueryCommand<WaitingTable> {
    @Override
    WaitingTable query(PlacerClient client) throws IOException {
        return client.query(
                Destinations.WAITING,
                WaitingQuery.getDefaultInstance(),
                WaitingTable.getDefaultInstance());
    }

    @Override
    void printTable(WaitingTable table) {
        System.out.printf("%-20s %-16s %8s%n", "TENANT", "REASON", "TASKS");
        table.getRowsList().forEach(WaitingCommand::printRow);
        System.out.println(summary(table));
    }

    private static void printRow(WaitingTable.Row row) {
        System.out.printf(
                "%-20s %-16s %8d%n",
                row.getTenant().isEmpty() ? "-" : row.getTenant(),
                ReasonNames.of(row.getKind()),
                row.getTasks());
    }

    private static String summary(WaitingTable table) {
        StringBuilder summary = new StringBuilder().append(table.getWaiting()).append(" pending");
        if (table.getOverload()) {
            summary.append("; overloaded: tasks are being shed");
        }
        if (table.getShed() > 0) {
            summary.append("; ").append(table.getShed()).append(" rejected early since startup");
        }
        return summary.toString();
    }
}
