package thornferry.app;

import java.io.IOException;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.protocol.Heartbeat;
import thornferry.state.Durability;
import thornferry.testbed.load.LoadStep;

/** Measures a placer under open-loop load. */
@Command(
        name = "load",
        description = "Measure a placer, in a process of its own, under open-loop load.",
        footer = {
            "",
            "Examples:",
            "  thornferry load --rate 130 --seconds 60 --clients 20 --vanish-every 0.5 --audit",
            "  thornferry load --rate 500,1000,2000,5000 --seconds 10 --nodes 1000 --json"
        })
final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--rate",
            split = ",",
            defaultValue = "130",
            description = "Tasks a second; several are steps, one after the other.")
    List<Double> rates;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Of each step; ${DEFAULT-VALUE}.")
    int seconds;

    @Option(
            names = "--nodes",
            defaultValue = "100",
            description = "Stand-in nodes; ${DEFAULT-VALUE}.")
    int nodes;

    @Option(
            names = "--clients",
            defaultValue = "20",
            description = "Each an owner of its own; ${DEFAULT-VALUE}.")
    int clients;

    @Option(
            names = "--vanish-every",
            paramLabel = "<vanishEvery>",
            defaultValue = "0",
            description = "Seconds between clients that break off.")
    double vanishIntervalSeconds;

    @Option(
            names = "--instances",
            defaultValue = "1",
            description = "Of the placer, one client in turn for each.")
    int instances;

    @Option(names = "--heart-beat-ms", paramLabel = "<beat>", defaultValue = "2000")
    int heartbeatMillis;

    @Option(
            names = "--audit",
            description = "Pass everything through a recording relay and audit the capture.")
    boolean audit;

    @Option(
            names = "--heap",
            defaultValue = "512m",
            description = "Of the placer's process; ${DEFAULT-VALUE}.")
    String heap;

    @Option(
            names = "--attach",
            split = ",",
            paramLabel = "HOST:PORT-PORT",
            description =
                    "Load these running placers, with the configuration that --print-site prints,"
                            + " and start none.")
    List<String> attachedPlacers = new ArrayList<>();

    @Option(
            names = "--print-site",
            description = "Print the site's configuration for so many clients and end.")
    boolean printSite;

    @Option(
            names = "--jvm",
            paramLabel = "OPTION",
            description = "A further option for the placer's JVM; repeatable.")
    List<String> jvmOptions = new ArrayList<>();

    @Option(
            names = "--waiting",
            paramLabel = "<waiting>",
            defaultValue = "0",
            description = "Tasks that wait in vain meanwhile, larger than any node.")
    int unplaceableTasks;

    @Option(
            names = "--no-line",
            description = "Without waiting line and reasons, to see what they cost.")
    boolean withoutAdmissionQueue;

    @Option(
            names = "--durability",
            defaultValue = "none",
            description = "Of the placer's promises: ${COMPLETION-CANDIDATES}; ${DEFAULT-VALUE}.")
    Durability durability;

    @Option(names = "--json", description = "A line of JSON for each step.")
    boolean json;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (printSite) {
            System.out.print(siteToml());
            return 0;
        }
        LoadReportPrinter printer = new LoadReportPrinter(System.out, nodes, durability, json);
        if (attachedPlacers.isEmpty()) {
            return new ManagedPlacerLoad(plan(), printer, placerOptions()).run();
        }
        return new RunningPlacerLoad(plan(), printer).run(attachedAddresses());
    }

    private String siteToml() throws IOException {
        return MeasurementSite.forLoad(clients, instances, !withoutAdmissionQueue);
    }

    private LoadPlan plan() {
        OptionalDouble meanVanishSeconds =
                vanishIntervalSeconds > 0
                        ? OptionalDouble.of(vanishIntervalSeconds)
                        : OptionalDouble.empty();
        Duration duration = Duration.ofSeconds(seconds);
        List<LoadStep> steps =
                rates.stream()
                        .map(rate -> new LoadStep(rate, duration, meanVanishSeconds))
                        .toList();
        return new LoadPlan(
                steps,
                clients,
                MeasurementSite.fleet(nodes),
                new Heartbeat(heartbeatMillis, heartbeatMillis));
    }

    private ManagedPlacerLoad.Options placerOptions() throws IOException {
        return new ManagedPlacerLoad.Options(
                siteToml(), instances, durability, heap, jvmOptions, unplaceableTasks, audit);
    }

    private List<SocketAddress> attachedAddresses() {
        return attachedPlacers.stream()
                .flatMap(text -> Addresses.parse(spec, "--attach", text).stream())
                .toList();
    }
}
