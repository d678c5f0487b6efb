package thornferry.app;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.state.Durability;
import thornferry.testbed.audit.TraceAuditor;
import thornferry.testbed.capture.Capture;
import thornferry.testbed.capture.RecordingProxy;
import thornferry.testbed.load.LoadGenerator;
import thornferry.testbed.load.LoadReport;
import thornferry.testbed.load.LoadStep;

/** Starts a placer in a process of its own, measures it and stops it. */
final class ManagedPlacerLoad {
    /**
     * The options for starting and observing the placer.
     *
     * @param siteToml configuration of the placer, without the table {@code [state]}
     * @param instanceCount number of placer instances
     * @param durability durability of the journal
     * @param heap maximum heap size, in the syntax of the JVM option {@code -Xmx}
     * @param jvmOptions additional options of the JVM
     * @param unplaceableTasks number of tasks that stay pending throughout the measurement
     * @param audit whether to record all traffic and audit it
     */
    record Options(
            String siteToml,
            int instanceCount,
            Durability durability,
            String heap,
            List<String> jvmOptions,
            int unplaceableTasks,
            boolean audit) {
        Options {
            jvmOptions = List.copyOf(jvmOptions);
        }
    }

    private static final double MAX_WARM_UP_RATE = 500;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final long CONNECT_MILLIS = 1_000;
    private static final long CONNECTIONS_PER_MILLI = 5;
    private static final double UNLIMITED_STARTS_PER_SECOND = 1e9;
    private static final long AUDIT_SLACK_MICROS = 250_000;

    private final LoadPlan plan;
    private final LoadReportPrinter printer;
    private final Options options;

    ManagedPlacerLoad(LoadPlan plan, LoadReportPrinter printer, Options options) {
        this.plan = plan;
        this.printer = printer;
        this.options = options;
    }

    /** Starts the placer, generates the load, audits it if requested, and returns the exit code. */
    int run() throws Exception {
        Path config = Files.createTempFile("thornferry-load", ".toml");
        Path stateFolder = Files.createTempDirectory("thornferry-load-state");
        Files.writeString(config, options.siteToml() + stateSection(stateFolder));
        SiteFile site = SiteFile.of(TomlFile.read(config));
        Path captureFile;
        int exitCode;
        try (PlacerProcess placer =
                PlacerProcess.start(config, options.heap(), options.jvmOptions())) {
            captureFile = Files.createTempFile("thornferry-load", ".jsonl");
            exitCode = measure(placer, site, captureFile);
        } finally {
            Files.deleteIfExists(config);
            deleteRecursively(stateFolder);
        }
        if (options.audit()) {
            TraceAuditor.Verdict verdict = TraceAuditor.audit(captureFile, AUDIT_SLACK_MICROS);
            exitCode = Math.max(exitCode, AuditCommand.print(captureFile, verdict));
        }
        if (exitCode == 0) {
            Files.deleteIfExists(captureFile);
        }
        return exitCode;
    }

    private String stateSection(Path folder) {
        return "[state]\ndurability = \""
                + options.durability().name().toLowerCase(Locale.ROOT)
                + "\"\nfolder = \""
                + folder
                + "\"\n";
    }

    private static void deleteRecursively(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    private int measure(PlacerProcess placer, SiteFile site, Path captureFile)
            throws IOException, InterruptedException {
        List<RecordingProxy> proxies = new ArrayList<>();
        try (Capture capture = new Capture(captureFile)) {
            List<SocketAddress> targets = placer.awaitListening(options.instanceCount());
            if (options.audit()) {
                capture.writeSite(site.site(), UNLIMITED_STARTS_PER_SECOND);
                for (int i = 0; i < targets.size(); i++) {
                    proxies.add(new RecordingProxy("p" + i, targets.get(i), capture));
                    targets.set(i, proxies.get(i).address());
                }
            }
            try (LoadGenerator generator = new LoadGenerator(plan.target(targets), plan.fleet())) {
                int exitCode = runSteps(placer, generator);
                capture.close(); // excludes the closing of the connections
                return exitCode;
            }
        } finally {
            proxies.forEach(RecordingProxy::close);
        }
    }

    private int runSteps(PlacerProcess placer, LoadGenerator generator)
            throws InterruptedException {
        awaitConnections();
        generator.run(warmUp());
        generator.queueUnplaceableTasks(options.unplaceableTasks());
        int exitCode = 0;
        for (LoadStep step : plan.steps()) {
            Duration cpuBefore = placer.cpuTime();
            LoadReport report = generator.run(step);
            Duration cpu = placer.cpuTime().minus(cpuBefore);
            printer.print(report, new PlacerUsage(cpu, placer.residentMegabytes()));
            exitCode = report.isCorrect() ? exitCode : ExitCode.FAILED;
        }
        return exitCode;
    }

    private void awaitConnections() throws InterruptedException {
        long connections = plan.fleet().count() * (long) options.instanceCount();
        Thread.sleep(CONNECT_MILLIS + connections / CONNECTIONS_PER_MILLI);
    }

    /** Returns a step without measurement that lets the JVMs compile frequently executed code. */
    private LoadStep warmUp() {
        double rate = Math.min(MAX_WARM_UP_RATE, plan.steps().get(0).tasksPerSecond());
        return new LoadStep(rate, WARM_UP, OptionalDouble.empty());
    }
}
