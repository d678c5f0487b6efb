package thornferry.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.testbed.audit.TraceAuditor;

/** Checks a capture against the five rules and prints each violation. */
@Command(
        name = "audit",
        description = "Checks a recorded capture against the five rules and prints each violation.",
        footer = {
            "",
            "Example:",
            "  thornferry audit day.jsonl",
            "",
            "Exit codes: 0 no violation, 1 at least one violation."
        })
final class AuditCommand implements Callable<Integer> {
    private static final int MAX_PRINTED_VIOLATIONS = 50;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;

    @Parameters(paramLabel = "CAPTURE", description = "Capture file, in JSON lines.")
    Path capture;

    @Option(
            names = "--slack-ms",
            paramLabel = "<slack>",
            defaultValue = "250",
            description =
                    "Tolerance for results recorded after the rule's grace period, in milliseconds;"
                            + " default: ${DEFAULT-VALUE}.")
    long slackMillis;

    @Override
    public Integer call() throws Exception {
        return print(capture, TraceAuditor.audit(capture, slackMillis * MICROS_PER_MILLI));
    }

    /**
     * Prints the violations, at most {@value #MAX_PRINTED_VIOLATIONS}, and a summary.
     *
     * @return the exit code
     */
    static int print(Path capture, TraceAuditor.Verdict verdict) {
        verdict.violations().stream()
                .limit(MAX_PRINTED_VIOLATIONS)
                .forEach(violation -> print(capture, violation));
        System.out.printf(
                "%s: %d frames and marks, %d requests, %d results, %d offers, %d starts: %s%n",
                capture,
                verdict.lines(),
                verdict.requests(),
                verdict.results(),
                verdict.offers(),
                verdict.starts(),
                verdict.isClean() ? "clean" : verdict.violations().size() + " breaches");
        return ExitCode.ofCheck(verdict.isClean());
    }

    private static void print(Path capture, TraceAuditor.Violation violation) {
        System.out.printf(
                "%s:%d: at %.3f s: %s: %s%n",
                capture,
                violation.line(),
                violation.atMicros() / MICROS_PER_SECOND,
                violation.rule() == 0 ? "unreadable" : "rule " + violation.rule(),
                violation.description());
    }
}
