package thornferry.app;

import java.net.SocketAddress;
import java.util.List;
import thornferry.testbed.load.LoadGenerator;
import thornferry.testbed.load.LoadReport;
import thornferry.testbed.load.LoadStep;

/** Measures placers that are already running and that this command has not started. */
final class RunningPlacerLoad {
    private static final long CONNECT_MILLIS = 5_000;

    private final LoadPlan plan;
    private final LoadReportPrinter printer;

    RunningPlacerLoad(LoadPlan plan, LoadReportPrinter printer) {
        this.plan = plan;
        this.printer = printer;
    }

    /** Generates the load and returns the exit code. */
    int run(List<SocketAddress> placers) throws InterruptedException {
        int exitCode = 0;
        try (LoadGenerator generator = new LoadGenerator(plan.target(placers), plan.fleet())) {
            Thread.sleep(CONNECT_MILLIS);
            for (LoadStep step : plan.steps()) {
                LoadReport report = generator.run(step);
                printer.print(report, PlacerUsage.UNKNOWN);
                exitCode = report.isCorrect() ? exitCode : ExitCode.FAILED;
            }
        }
        return exitCode;
    }
}
