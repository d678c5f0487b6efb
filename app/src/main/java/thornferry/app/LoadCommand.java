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

/** Measures a placer under open-loop load, which does not slow down when the placer does. */
@Command(
        name = "load",
        description = "Measures a placer, in a process of its own, under open-loop load.",
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
            description =
                    "Load, in tasks per second; several rates are run as consecutive steps;"
                            + " default: ${DEFAULT-VALUE}.")
    List<Double> rates;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Duration of each step, in seconds; default: ${DEFAULT-VALUE}.")
    int seconds;

    @Option(
            names = "--nodes",
            defaultValue = "100",
            description = "Number of emulated nodes; default: ${DEFAULT-VALUE}.")
    int nodes;

    @Option(
            names = "--clients",
            defaultValue = "20",
            description =
                    "Number of clients, each with an owner account of its own; default:"
                            + " ${DEFAULT-VALUE}.")
    int clients;

    @Option(
            names = "--vanish-every",
            paramLabel = "<vanishEvery>",
            defaultValue = "0",
            description =
                    "Mean time between abrupt disconnections of clients, in seconds; 0 for none;"
                            + " default: ${DEFAULT-VALUE}.")
    double vanishIntervalSeconds;

    @Option(
            names = "--instances",
            defaultValue = "1",
            description =
                    "Number of placer instances, among which the clients are distributed in turn;"
                            + " default: ${DEFAULT-VALUE}.")
    int instances;

    @Option(
            names = "--heart-beat-ms",
            paramLabel = "<beat>",
            defaultValue = "2000",
            description =
                    "Heartbeat interval that clients and nodes propose, in milliseconds; default:"
                            + " ${DEFAULT-VALUE}.")
    int heartbeatMillis;

    @Option(
            names = "--audit",
            description = "Records all traffic through a recording proxy and audits the capture.")
    boolean audit;

    @Option(
            names = "--heap",
            defaultValue = "512m",
            description =
                    "Maximum heap size of the placer's JVM, as -Xmx takes it; default:"
                            + " ${DEFAULT-VALUE}.")
    String heap;

    @Option(
            names = "--attach",
            split = ",",
            paramLabel = "HOST:PORT-PORT",
            description =
                    "Addresses of running placers to measure instead of starting one; they must use"
                            + " the configuration that --print-site prints.")
    List<String> attachedPlacers = new ArrayList<>();

    @Option(
            names = "--print-site",
            description =
                    "Prints the site's configuration for the given numbers of clients and"
                            + " instances, and exits.")
    boolean printSite;

    @Option(
            names = "--jvm",
            paramLabel = "OPTION",
            description = "Additional option for the placer's JVM; may be repeated.")
    List<String> jvmOptions = new ArrayList<>();

    @Option(
            names = "--waiting",
            paramLabel = "<waiting>",
            defaultValue = "0",
            description =
                    "Number of tasks larger than any node, which stay pending throughout the"
                            + " measurement; default: ${DEFAULT-VALUE}.")
    int unplaceableTasks;

    @Option(
            names = "--no-line",
            description =
                    "Disables the admission queue and pending reasons, to measure their cost.")
    boolean withoutAdmissionQueue;

    @Option(
            names = "--durability",
            defaultValue = "none",
            description =
                    "Durability of the placer's journal, one of ${COMPLETION-CANDIDATES}; default:"
                            + " ${DEFAULT-VALUE}.")
    Durability durability;

    @Option(names = "--json", description = "Prints one line of JSON for each step.")
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
