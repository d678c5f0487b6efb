package thornferry.app;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.config.ConfigException;
import thornferry.state.Durability;
import thornferry.testbed.audit.TraceAuditor;
import thornferry.testbed.diagnosis.PendingReasonScenarios;
import thornferry.testbed.scenario.ScenarioFile;
import thornferry.testbed.scenario.ScenarioRunner;

/** Groups the commands that play scenarios. On the command line a scenario is a {@code day}. */
@Command(
        name = "day",
        description = "Plays scenarios on the loopback interface.",
        subcommands = {ScenarioCommand.Run.class, ScenarioCommand.Reasons.class})
final class ScenarioCommand extends CommandGroup {
    /** Checks that each pending reason is shown when it applies. */
    @Command(
            name = "reasons",
            description =
                    "Plays one scenario for each pending reason and prints whether and how soon the"
                            + " reason is shown.",
            footer = {
                "",
                "Example:",
                "  thornferry day reasons",
                "",
                "Exit codes: 0 every reason is shown, 1 a reason is not shown."
            })
    static final class Reasons implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            System.out.printf(
                    "%-46s %-14s %10s %10s%n", "SCENARIO", "SHOWN", "AFTER ms", "PLACED ms");
            for (PendingReasonScenarios.Shown shown : PendingReasonScenarios.play()) {
                System.out.printf(
                        "%-46s %-14s %10.1f %10s%n",
                        shown.scenario(),
                        shown.kind(),
                        shown.shownMicros() / 1e3,
                        shown.placedMicros() < 0
                                ? "-"
                                : String.format("%.1f", shown.placedMicros() / 1e3));
            }
            long[] medians = PendingReasonScenarios.timing(2_000);
            System.out.printf(
                    "median response time for another owner's task: %d us; for an unknown task: %d"
                            + " us%n",
                    medians[0], medians[1]);
            return 0;
        }
    }

    /** Plays one scenario and audits its capture. */
    @Command(
            name = "run",
            description = "Plays a scenario and audits a capture of its traffic.",
            footer = {
                "",
                "Example:",
                "  thornferry day run examples/days/short.toml --capture day.jsonl"
            })
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT", description = "Scenario file, in TOML.")
        Path script;

        @Option(
                names = "--capture",
                description =
                        "File for the capture; default: a temporary file, which is deleted if the"
                                + " audit finds no violation.")
        Path capture;

        @Option(
                names = "--seed",
                description = "Random seed; default: the seed in the scenario file.")
        Long seed;

        @Option(
                names = "--durability",
                description =
                        "Durability of the placers' journals, one of ${COMPLETION-CANDIDATES};"
                                + " default: the durability in the scenario file.")
        Durability durability;

        @Option(
                names = "--slack-ms",
                defaultValue = "250",
                description =
                        "Tolerance for results recorded after the rule's grace period, in"
                                + " milliseconds; default: ${DEFAULT-VALUE}.")
        long slackMillis;

        @Override
        public Integer call() throws Exception {
            ScenarioFile scenario = readScenario();
            Path captureFile =
                    capture == null ? Files.createTempFile("thornferry-day", ".jsonl") : capture;
            printOutcome(scenario.seed(), ScenarioRunner.play(scenario, captureFile));
            TraceAuditor.Verdict verdict =
                    TraceAuditor.audit(captureFile, TimeUnit.MILLISECONDS.toMicros(slackMillis));
            int exitCode = AuditCommand.print(captureFile, verdict);
            if (capture == null && exitCode == 0) {
                Files.delete(captureFile);
            }
            return exitCode;
        }

        private ScenarioFile readScenario() throws ConfigException {
            ScenarioFile scenario = ScenarioFile.read(script);
            if (seed != null) {
                scenario = scenario.withSeed(seed);
            }
            if (durability != null) {
                scenario = scenario.withDurability(durability);
            }
            return scenario;
        }

        private static void printOutcome(long seed, ScenarioRunner.Outcome outcome) {
            System.out.printf(
                    "seed %d: %d tasks, %d requests: %d placed, %d rejected, %d failed,"
                            + " %d unanswered; afterwards %d ended, %d evicted, %d lost;"
                            + " module failures %d%n",
                    seed,
                    outcome.tasks(),
                    outcome.requests(),
                    outcome.placed(),
                    outcome.rejected(),
                    outcome.failed(),
                    outcome.unanswered(),
                    outcome.ended(),
                    outcome.evicted(),
                    outcome.lost(),
                    outcome.moduleFailures());
        }
    }
}
