package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.Limits;
import thornferry.protocol.v1.LimitsQuery;
import thornferry.protocol.v1.Reload;

@Command(
        name = "limits",
        description =
                "One's own limits and their use; for operators the tenants' and the site's too.",
        footer = {"", "Examples:", "  thornferry limits", "  thornferry limits --reload"})
final class LimitsCommand implements Callable<Integer> {
    @Mixin PlacerOptions placer;

    @Option(names = "--json", description = "Print one line of JSON.")
    boolean json;

    @Option(
            names = "--reload",
            description =
                    "First have the placer read its file anew; a mistake in it keeps the former.")
    boolean reload;

    @Override
    public Integer call() throws Exception {
        if (reload) {
            int code = placer.send(Destinations.RELOAD, Reload.getDefaultInstance(), "reloaded");
            if (code != 0) {
                return code;
            }
        }
        Limits limits =
                placer.ask(
                        Destinations.LIMITS, LimitsQuery.getDefaultInstance(), Limits.newBuilder());
        if (json) {
            System.out.println(Bodies.json(limits));
            return 0;
        }
        System.out.printf(
                "%-7s %-16s %15s %15s %17s %17s %10s %6s%n",
                "SCOPE", "NAME", "WAITING", "TASKS", "CORES", "MEMORY", "PER SECOND", "SHARE");
        for (Limits.Use u : limits.getUsesList()) {
            System.out.printf(
                    "%-7s %-16s %15s %15s %17s %17s %10s %5.1f%%%n",
                    u.getScope(),
                    u.getName().isEmpty() ? "-" : u.getName(),
                    of(u.getWaiting(), u.hasMostWaiting(), u.getMostWaiting()),
                    of(u.getTasks(), u.hasMostTasks(), u.getMostTasks()),
                    of(u.getCores(), u.hasMostCores(), u.getMostCores()),
                    of(u.getMemory(), u.hasMostMemory(), u.getMostMemory()),
                    u.hasMostPerSecond() ? "of " + number(u.getMostPerSecond()) : "-",
                    100 * u.getShare());
        }
        if (!limits.getLoaded().isEmpty()) {
            System.out.println("last reload: " + limits.getLoaded());
        }
        return 0;
    }

    private static String of(double used, boolean limited, double most) {
        return number(used) + (limited ? " of " + number(most) : "");
    }

    private static String number(double x) {
        return x == Math.rint(x) ? Long.toString((long) x) : String.format("%.2f", x);
    }
}
