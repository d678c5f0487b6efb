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

/** Plays scripted scenarios; the command and its words on the command line are {@code day}. */
@Command(
        name = "day",
        description = "Scripted days on loopback.",
        subcommands = {ScenarioCommand.Run.class, ScenarioCommand.Reasons.class})
final class ScenarioCommand extends CommandGroup {
    /** Checks for each pending reason that it is shown when it is the true one. */
    @Command(
            name = "reasons",
            description =
                    "For each reason a site in which it is the true one: is it shown, and how"
                            + " soon.",
            footer = {
                "",
                "Example:",
                "  thornferry day reasons",
                "",
                "Exit codes: 0 all true, 1 one is not."
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
                    "asked about another's task: median %d us; about one that there is not: %d"
                            + " us%n",
                    medians[0], medians[1]);
            return 0;
        }
    }

    /** Plays one scenario and audits its capture. */
    @Command(
            name = "run",
            description = "Play a scripted day and audit what passed on its sockets.",
            footer = {
                "",
                "Example:",
                "  thornferry day run examples/days/short.toml --capture day.jsonl"
            })
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "SCRIPT")
        Path script;

        @Option(
                names = "--capture",
                description = "Keep the capture here; a temporary file where absent.")
        Path capture;

        @Option(names = "--seed", description = "In place of the script's.")
        Long seed;

        @Option(
                names = "--durability",
                description =
                        "Of the placers' promises, in place of the script's:"
                                + " ${COMPLETION-CANDIDATES}.")
        Durability durability;

        @Option(
                names = "--slack-ms",
                defaultValue = "250",
                description =
                        "How much later than the rule's grace a result may be seen;"
                                + " ${DEFAULT-VALUE}.")
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
                    "seed %d: %d tasks, %d asks: %d placed, %d refused, %d failed, %d unanswered;"
                            + " then %d ended, %d evicted, %d lost; module failures %d%n",
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
