package thornferry.app;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Site;
import thornferry.testbed.load.OverloadExperiment;

@Command(
        name = "overload",
        description =
                "Measure what the waiting line does under overload, against none; with charts.",
        footer = {"", "Example:", "  thornferry overload --charts charts"})
final class OverloadCommand implements Callable<Integer> {
    private static final List<OverloadExperiment.Tenant> TENANTS =
            List.of(
                    new OverloadExperiment.Tenant("depots", "owner-0", 0.5),
                    new OverloadExperiment.Tenant("levies", "owner-1", 0.3),
                    new OverloadExperiment.Tenant("gauges", "owner-2", 0.2));

    @Option(
            names = "--load",
            split = ",",
            defaultValue = "0.5,1,2,4",
            description = "Of what the nodes bear.")
    List<Double> loads;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Of each step; ${DEFAULT-VALUE}.")
    int seconds;

    @Option(
            names = "--nodes",
            defaultValue = "20",
            description = "Stand-in nodes; ${DEFAULT-VALUE}.")
    int nodes;

    @Option(
            names = "--storm",
            defaultValue = "3000",
            description = "Tasks that come in one moment; ${DEFAULT-VALUE}.")
    int storm;

    @Option(
            names = "--large",
            split = ",",
            defaultValue = "1,2",
            description =
                    "Loads at which large tasks are asked for too, with room gathered for them and"
                            + " without.")
    List<Double> large;

    @Option(names = "--charts", paramLabel = "DIR", description = "Write charts there.")
    Path charts;

    @Override
    public Integer call() throws Exception {
        OverloadExperiment overload = new OverloadExperiment(site(), TENANTS, nodes);
        System.out.printf("%d nodes bear about %.0f tasks a second%n", nodes, overload.borne());
        System.out.printf(
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
        List<OverloadExperiment.Outcome> outcomes = new ArrayList<>();
        for (double load : loads) {
            for (boolean line : new boolean[] {false, true}) {
                OverloadExperiment.Outcome o = overload.run(load, line, seconds);
                outcomes.add(o);
                System.out.printf(
                        "%5.1f %5s %7d %7d %8.0f %6.3f %-18s %9.0f %7d %7d %10d%n",
                        o.load(),
                        o.line() ? "on" : "off",
                        o.asked(),
                        o.placed(),
                        o.worthPerSecond(),
                        o.jain(),
                        String.format(
                                "%.2f %.2f %.2f",
                                o.servedOfEntitled()[0],
                                o.servedOfEntitled()[1],
                                o.servedOfEntitled()[2]),
                        o.p99() / 1e3,
                        o.early(),
                        o.late(),
                        o.unanswered());
            }
        }
        for (double load : large) {
            for (boolean gather : new boolean[] {false, true}) {
                OverloadExperiment.Large l = overload.large(load, gather, seconds);
                System.out.printf(
                        "load %.1f, room gathered for large tasks %s: %d of %d placed, worth of all"
                                + " %.0f/s%n",
                        load, gather ? "on" : "off", l.placed(), l.asked(), l.worthPerSecond());
            }
        }
        Map<String, double[][]> recoveries = new LinkedHashMap<>();
        for (boolean line : new boolean[] {false, true}) {
            OverloadExperiment.Recovery r = overload.storm(line, storm, 30);
            System.out.printf(
                    "storm of %d, line %s: %s%n",
                    r.tasks(),
                    line ? "on" : "off",
                    r.seconds() < 0
                            ? "not recovered within 30 s"
                            : String.format(
                                    "fresh tasks served as before after %.1f s", r.seconds()));
            recoveries.put(
                    "line " + (line ? "on" : "off"), r.placedInTime().toArray(new double[0][]));
        }
        if (charts != null) {
            Files.createDirectories(charts);
            chart(
                    outcomes,
                    "worth",
                    "Worth placed a second",
                    "worth/s",
                    OverloadExperiment.Outcome::worthPerSecond);
            chart(
                    outcomes,
                    "fairness",
                    "Jain's index over served of entitled",
                    "index",
                    OverloadExperiment.Outcome::jain);
            chart(outcomes, "answers", "p99 of the time to an answer", "ms", o -> o.p99() / 1e3);
            chart(
                    outcomes,
                    "late",
                    "Refusals after nine tenths of patience",
                    "refusals",
                    OverloadExperiment.Outcome::late);
            chart(
                    outcomes,
                    "early",
                    "Refusals within half of patience",
                    "refusals",
                    OverloadExperiment.Outcome::early);
            Charts.write(
                    charts.resolve("recovery.png"),
                    "Fresh tasks placed within a second, after a storm of " + storm,
                    "seconds after the storm",
                    "part",
                    recoveries);
            System.out.println("charts are in " + charts);
        }
        return 0;
    }

    private void chart(
            List<OverloadExperiment.Outcome> outcomes,
            String file,
            String title,
            String unit,
            ToDoubleFunction<OverloadExperiment.Outcome> of)
            throws IOException {
        Map<String, double[][]> series = new LinkedHashMap<>();
        for (boolean line : new boolean[] {false, true}) {
            series.put(
                    "line " + (line ? "on" : "off"),
                    outcomes.stream()
                            .filter(o -> o.line() == line)
                            .map(o -> new double[] {o.load(), of.applyAsDouble(o)})
                            .toArray(double[][]::new));
        }
        Charts.write(
                charts.resolve(file + ".png"),
                title + " (simulated nodes)",
                "offered load, of what the nodes bear",
                unit,
                series);
    }

    private static Site site() throws Exception {
        StringBuilder text = new StringBuilder();
        try (InputStream in = OverloadCommand.class.getResourceAsStream("/load.toml")) {
            text.append(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
        for (OverloadExperiment.Tenant t : TENANTS) {
            text.append("[[tenant]]\nname = \"")
                    .append(t.name())
                    .append("\"\nshare = ")
                    .append(t.share())
                    .append('\n');
            text.append("[[account]]\nlogin = \"")
                    .append(t.owner())
                    .append("\"\npasscode = \"load\"\nrole = \"owner\"\n")
                    .append("tenant = \"")
                    .append(t.name())
                    .append("\"\n");
        }
        text.append("[[account]]\nlogin = \"load-node\"\npasscode = \"load\"\nrole = \"agent\"\n");
        return SiteFile.of(TomlFile.parse("overload.toml", text.toString())).site();
    }
}
