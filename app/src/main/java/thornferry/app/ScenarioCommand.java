package thornferry.app;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.state.Durability;
import thornferry.testbed.audit.TraceAuditor;
import thornferry.testbed.diagnosis.PendingReasonScenarios;
import thornferry.testbed.scenario.ScenarioFile;
import thornferry.testbed.scenario.ScenarioRunner;

@Command(
        name = "day",
        description = "Scripted days on loopback.",
        subcommands = {ScenarioCommand.Run.class, ScenarioCommand.Reasons.class})
final class ScenarioCommand extends Main.Group {
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
            for (PendingReasonScenarios.Shown s : PendingReasonScenarios.play()) {
                System.out.printf(
                        "%-46s %-14s %10.1f %10s%n",
                        s.scenario(),
                        s.kind(),
                        s.shownMicros() / 1e3,
                        s.placedMicros() < 0 ? "-" : String.format("%.1f", s.placedMicros() / 1e3));
            }
            long[] medians = PendingReasonScenarios.timing(2_000);
            System.out.printf(
                    "asked about another's task: median %d us; about one that there is not: %d"
                            + " us%n",
                    medians[0], medians[1]);
            return 0;
        }
    }

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
        long slack;

        @Override
        public Integer call() throws Exception {
            ScenarioFile file = ScenarioFile.read(script);
            if (seed != null) {
                file = file.withSeed(seed);
            }
            if (durability != null) {
                file = file.withDurability(durability);
            }
            Path to = capture == null ? Files.createTempFile("thornferry-day", ".jsonl") : capture;
            ScenarioRunner.Outcome o = ScenarioRunner.play(file, to);
            System.out.printf(
                    "seed %d: %d tasks, %d asks: %d placed, %d refused, %d failed, %d unanswered;"
                            + " then %d ended, %d evicted, %d lost; module failures %d%n",
                    file.seed(),
                    o.tasks(),
                    o.requests(),
                    o.placed(),
                    o.rejected(),
                    o.failed(),
                    o.unanswered(),
                    o.ended(),
                    o.evicted(),
                    o.lost(),
                    o.moduleFailures());
            TraceAuditor.Verdict verdict = TraceAuditor.audit(to, slack * 1_000);
            int code = AuditCommand.print(to, verdict);
            if (capture == null && code == 0) {
                Files.delete(to);
            }
            return code;
        }
    }
}
