package thornferry.app;

import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.WaitingQuery;
import thornferry.protocol.v1.WaitingTable;

@Command(
        name = "waiting",
        description =
                "How many tasks wait for which reason: one's own; for operators all, by tenant.",
        footer = {"", "Example:", "  thornferry waiting"})
final class WaitingCommand implements Callable<Integer> {
    @Mixin PlacerOptions placer;

    @Option(names = "--json", description = "Print one line of JSON.")
    boolean json;

    @Override
    public Integer call() throws Exception {
        WaitingTable table =
                placer.ask(
                        Destinations.WAITING,
                        WaitingQuery.getDefaultInstance(),
                        WaitingTable.newBuilder());
        if (json) {
            System.out.println(Bodies.json(table));
            return 0;
        }
        System.out.printf("%-20s %-16s %8s%n", "TENANT", "REASON", "TASKS");
        for (WaitingTable.Row r : table.getRowsList()) {
            System.out.printf(
                    "%-20s %-16s %8d%n",
                    r.getTenant().isEmpty() ? "-" : r.getTenant(),
                    r.getKind().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    r.getTasks());
        }
        System.out.println(
                table.getWaiting()
                        + " wait"
                        + (table.getOverload() ? "; overloaded: tasks are being shed" : "")
                        + (table.getShed() > 0
                                ? "; " + table.getShed() + " refused early since the start"
                                : ""));
        return 0;
    }
}
