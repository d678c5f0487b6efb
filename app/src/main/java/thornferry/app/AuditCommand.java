package thornferry.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.testbed.audit.TraceAuditor;

@Command(
        name = "audit",
        description = "Judge the five rules from a capture alone.",
        footer = {
            "",
            "Example:",
            "  thornferry audit day.jsonl",
            "",
            "Exit codes: 0 clean, 1 a rule is broken."
        })
final class AuditCommand implements Callable<Integer> {
    private static final int MOST_PRINTED = 50;

    @Parameters(paramLabel = "CAPTURE")
    Path capture;

    @Option(
            names = "--slack-ms",
            defaultValue = "250",
            description =
                    "How much later than the rule's grace a result may be seen; ${DEFAULT-VALUE}.")
    long slack;

    @Override
    public Integer call() throws Exception {
        return print(capture, TraceAuditor.audit(capture, slack * 1_000));
    }

    static int print(Path capture, TraceAuditor.Verdict v) {
        v.violations().stream()
                .limit(MOST_PRINTED)
                .forEach(
                        b ->
                                System.out.printf(
                                        "%s:%d: at %.3f s: %s: %s%n",
                                        capture,
                                        b.line(),
                                        b.atMicros() / 1e6,
                                        b.rule() == 0 ? "unreadable" : "rule " + b.rule(),
                                        b.description()));
        System.out.printf(
                "%s: %d frames and marks, %d asks, %d results, %d offers, %d starts: %s%n",
                capture,
                v.lines(),
                v.requests(),
                v.results(),
                v.offers(),
                v.starts(),
                v.isClean() ? "clean" : v.violations().size() + " breaches");
        return v.isClean() ? 0 : Main.FAILED;
    }
}
