package thornferry.testbed.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;
import thornferry.testbed.capture.Capture;

/**
 * Plays a scenario in real time and records it in a capture. Whether the placers kept their
 * guarantees is judged by {@link thornferry.testbed.audit.TraceAuditor}.
 */
public final class ScenarioRunner {
    private static final String WORK_FOLDER_PREFIX = "thornferry-day";

    /** Nodes and clients connect in this time; earlier requests would only be rejected. */
    private static final Duration CONNECT_DURATION = Duration.ofMillis(500);

    private final ScenarioFile scenario;
    private final Capture capture;
    private final ScenarioCluster cluster;
    private final ScenarioClients clients;
    private final FaultInjector faults;

    private ScenarioRunner(ScenarioFile scenario, Capture capture, Path workFolder)
            throws IOException {
        this.scenario = scenario;
        this.capture = capture;
        Optional<ScenarioKeys> keys =
                scenario.settings().tls()
                        ? Optional.of(ScenarioKeys.issue(workFolder.resolve("keys")))
                        : Optional.empty();
        LoginTargets targets = LoginTargets.of(scenario, keys);
        cluster = new ScenarioCluster(scenario, keys, targets, capture, workFolder);
        clients = new ScenarioClients(scenario, targets);
        faults =
                new FaultInjector(
                        cluster,
                        clients,
                        new DrainOperator(cluster.placers(), targets),
                        scenario.seed());
    }

    /**
     * What a scenario came to, as its clients saw it.
     *
     * @param tasks number of tasks submitted at least once
     * @param requests number of submissions, retries included
     * @param placed requests with the result placed
     * @param rejected requests with the result rejected
     * @param failed requests with the result failed
     * @param unanswered requests without a result
     * @param ended placed tasks that completed
     * @param evicted placed tasks that were evicted or migrated
     * @param lost placed tasks that were lost with their node
     * @param moduleFailures exceptions of the placement policy
     */
    public record Outcome(
            long tasks,
            long requests,
            long placed,
            long rejected,
            long failed,
            long unanswered,
            long ended,
            long evicted,
            long lost,
            long moduleFailures) {
        private static Outcome of(WorkloadTotals totals, long policyFailures) {
            return new Outcome(
                    totals.tasks(),
                    totals.requests(),
                    totals.placed(),
                    totals.rejected(),
                    totals.failed(),
                    totals.unanswered(),
                    totals.ended(),
                    totals.evicted(),
                    totals.lost(),
                    policyFailures);
        }
    }

    /**
     * Plays a scenario from beginning to end, which takes as long as it says.
     *
     * @param captureFile what is written; an existing file is replaced
     * @throws IOException if the capture cannot be written, or a process does not start
     */
    public static Outcome play(ScenarioFile scenario, Path captureFile)
            throws IOException, InterruptedException {
        Path workFolder = Files.createTempDirectory(WORK_FOLDER_PREFIX);
        try (Capture capture = new Capture(captureFile)) {
            return new ScenarioRunner(scenario, capture, workFolder).play();
        } finally {
            deleteRecursively(workFolder);
        }
    }

    private static void deleteRecursively(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    private Outcome play() throws IOException, InterruptedException {
        try {
            capture.writeSite(scenario.site(), minColdStartsPerSecond());
            cluster.start();
            clients.connect(cluster.placers());
            sleep(CONNECT_DURATION);
            clients.startTraffic();
            faults.schedule(scenario.faults());
            sleep(scenario.settings().trafficDuration());
            clients.stopTraffic();
            sleep(scenario.settings().quietDuration());
            return Outcome.of(clients.totals(), cluster.policyFailures());
        } finally {
            tearDown();
        }
    }

    /** The rate of the weakest nodes, which the auditor compares with what they are offered. */
    private double minColdStartsPerSecond() {
        return scenario.fleets().stream().mapToDouble(Fleet::coldStartsPerSecond).min().orElse(0);
    }

    private void tearDown() throws IOException, InterruptedException {
        faults.stop();
        capture.close(); // what happens from now on is not part of the scenario
        clients.close();
        cluster.close();
    }

    private static void sleep(Duration duration) throws InterruptedException {
        Thread.sleep(duration.toMillis());
    }
}
