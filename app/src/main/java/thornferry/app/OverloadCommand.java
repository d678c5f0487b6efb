package thornferry.app;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Site;
import thornferry.testbed.load.OverloadExperiment;
import thornferry.testbed.load.OverloadOutcome;
import thornferry.testbed.load.OverloadSetup;
import thornferry.testbed.load.RecoveryOutcome;
import thornferry.testbed.load.ReservationExperiment;
import thornferry.testbed.load.RetryStormExperiment;
import thornferry.testbed.load.TenantAccount;

/** Measures a placer under overload with and without its admission queue. */
@Command(
        name = "overload",
        description =
                "Measures a placer under overload with and without its admission queue, and draws"
                        + " charts.",
        footer = {"", "Example:", "  thornferry overload --charts charts"})
final class OverloadCommand implements Callable<Integer> {
    /** The longest time to wait for the recovery from a burst. */
    static final Duration RECOVERY_TIME = Duration.ofSeconds(30);

    private static final List<TenantAccount> TENANTS =
            List.of(
                    new TenantAccount("depots", "owner-0", 0.5),
                    new TenantAccount("levies", "owner-1", 0.3),
                    new TenantAccount("gauges", "owner-2", 0.2));
    private static final List<Boolean> OFF_AND_ON = List.of(false, true);

    @Option(
            names = "--load",
            split = ",",
            defaultValue = "0.5,1,2,4",
            description =
                    "Offered loads, as multiples of the nodes' capacity; default:"
                            + " ${DEFAULT-VALUE}.")
    List<Double> loads;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Duration of each step, in seconds; default: ${DEFAULT-VALUE}.")
    int seconds;

    @Option(
            names = "--nodes",
            defaultValue = "20",
            description = "Number of emulated nodes; default: ${DEFAULT-VALUE}.")
    int nodes;

    @Option(
            names = "--storm",
            paramLabel = "<storm>",
            defaultValue = "3000",
            description =
                    "Number of tasks in the burst from which the placer must recover; default:"
                            + " ${DEFAULT-VALUE}.")
    int burst;

    @Option(
            names = "--large",
            paramLabel = "<large>",
            split = ",",
            defaultValue = "1,2",
            description =
                    "Offered loads at which large tasks are submitted too, with and without"
                            + " reservations for them; default: ${DEFAULT-VALUE}.")
    List<Double> largeTaskLoads;

    @Option(
            names = "--charts",
            paramLabel = "DIR",
            description = "Folder for charts; none are drawn if absent.")
    Path chartFolder;

    @Override
    public Integer call() throws Exception {
        OverloadSetup setup = new OverloadSetup(site(), TENANTS, nodes);
        OverloadPrinter printer = new OverloadPrinter(System.out);
        printer.printSetup(setup);
        List<OverloadOutcome> outcomes = measureOverload(setup, printer);
        measureReservations(setup, printer);
        List<RecoveryOutcome> recoveries = measureRecovery(setup, printer);
        if (chartFolder != null) {
            new OverloadCharts(chartFolder).write(outcomes, recoveries, burst);
            printer.printChartFolder(chartFolder);
        }
        return 0;
    }

    private static Site site() throws Exception {
        String toml = MeasurementSite.forTenants(TENANTS);
        return SiteFile.of(TomlFile.parse("overload.toml", toml)).site();
    }

    private List<OverloadOutcome> measureOverload(OverloadSetup setup, OverloadPrinter printer)
            throws Exception {
        OverloadExperiment experiment = new OverloadExperiment(setup);
        List<OverloadOutcome> outcomes = new ArrayList<>();
        printer.printHeader();
        for (double load : loads) {
            for (boolean admissionQueue : OFF_AND_ON) {
                OverloadOutcome outcome = experiment.run(load, admissionQueue, duration());
                outcomes.add(outcome);
                printer.print(outcome);
            }
        }
        return outcomes;
    }

    private void measureReservations(OverloadSetup setup, OverloadPrinter printer)
            throws Exception {
        ReservationExperiment experiment = new ReservationExperiment(setup);
        for (double load : largeTaskLoads) {
            for (boolean reservations : OFF_AND_ON) {
                printer.print(experiment.run(load, reservations, duration()));
            }
        }
    }

    private List<RecoveryOutcome> measureRecovery(OverloadSetup setup, OverloadPrinter printer)
            throws Exception {
        RetryStormExperiment experiment = new RetryStormExperiment(setup);
        List<RecoveryOutcome> outcomes = new ArrayList<>();
        for (boolean admissionQueue : OFF_AND_ON) {
            RecoveryOutcome outcome = experiment.run(admissionQueue, burst, RECOVERY_TIME);
            outcomes.add(outcome);
            printer.print(outcome);
        }
        return outcomes;
    }

    private Duration duration() {
        return Duration.ofSeconds(seconds);
    }
}
