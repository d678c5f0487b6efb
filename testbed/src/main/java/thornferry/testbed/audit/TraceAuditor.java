package thornferry.testbed.audit;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Checks the five rules from a capture alone. It knows the protocol and nothing of the placer: what
 * a placer may have known at a moment is taken from the frames that had passed by then.
 */
public final class TraceAuditor {
    /**
     * A rule that does not hold.
     *
     * @param rule 1 to 5, or 0 if the capture itself cannot be read
     * @param line of the capture, from 1
     * @param atMicros time since the capture began
     * @param description what happened
     */
    public record Violation(int rule, long line, long atMicros, String description) {}

    /**
     * The violations, and how much the capture held, to tell it from an empty one.
     *
     * @param violations in the order in which they were found
     * @param lines lines of the capture
     * @param requests requests, with retries
     * @param results first notifications of results
     * @param offers offers to nodes
     * @param starts attempts that started
     */
    public record Verdict(
            List<Violation> violations,
            long lines,
            long requests,
            long results,
            long offers,
            long starts) {
        /** Whether all rules hold. */
        public boolean isClean() {
            return violations.isEmpty();
        }
    }

    private final AuditContext context;
    private final TracedConnections connections = new TracedConnections();
    private final TracedTasks tasks = new TracedTasks();
    private final TracedAttempts attempts = new TracedAttempts();
    private final PlacerPauses pauses = new PlacerPauses();
    private final LateResults lateResults;
    private final ResultChecker resultChecker;
    private final RetryChecker retryChecker;
    private final DuplicateStartChecker startChecker;
    private final DrainChecker drainChecker;
    private final SpreadChecker spreadChecker;
    private final RequestHandler requestHandler;
    private final OfferHandler offerHandler;
    private final AttemptHandler attemptHandler;
    private final FrameHandler frameHandler;

    private TraceAuditor(long slackMicros) {
        context = new AuditContext(slackMicros);
        lateResults = new LateResults(context);
        TracedNodes nodes = new TracedNodes();
        retryChecker = new RetryChecker(context, nodes);
        resultChecker =
                new ResultChecker(context, connections, tasks, pauses, retryChecker, lateResults);
        startChecker = new DuplicateStartChecker(context, nodes);
        drainChecker = new DrainChecker(context);
        SlowStartChecker slowStartChecker = new SlowStartChecker(context, nodes);
        spreadChecker = new SpreadChecker(context, nodes);
        requestHandler = new RequestHandler(context, connections, tasks, pauses, lateResults);
        offerHandler =
                new OfferHandler(
                        context,
                        tasks,
                        attempts,
                        List.of(
                                resultChecker,
                                retryChecker,
                                drainChecker,
                                slowStartChecker,
                                spreadChecker));
        attemptHandler =
                new AttemptHandler(
                        context, attempts, nodes, retryChecker, startChecker, spreadChecker);
        frameHandler =
                new FrameHandler(
                        context,
                        requestHandler,
                        offerHandler,
                        attemptHandler,
                        resultChecker,
                        drainChecker);
    }

    /**
     * Audits a capture.
     *
     * @param slackMicros how much later than the rules allow a result may be recorded
     */
    public static Verdict audit(Path capture, long slackMicros) throws IOException {
        TraceAuditor auditor = new TraceAuditor(slackMicros);
        try (BufferedReader reader = Files.newBufferedReader(capture)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                auditor.readLine(line);
            }
        }
        return auditor.finish();
    }

    private void readLine(String line) {
        context.nextLine();
        try {
            CaptureReader.Row row = CaptureReader.read(line);
            context.moveTo(row.atMicros());
            confirmUnexcused(context.orderedBeforeMicros());
            handle(row.event());
        } catch (UnreadableRowException e) {
            context.report(Rule.READABLE, e.getMessage());
        }
    }

    /** Reports what a frame within the slack could have excused, if it is from before that time. */
    private void confirmUnexcused(long beforeMicros) {
        retryChecker.confirmOverlaps(beforeMicros);
        lateResults.confirm(beforeMicros);
    }

    private void handle(CaptureEvent event) {
        if (event instanceof CaptureEvent.SiteDeclared site) {
            context.declareSite(site);
            return;
        }
        context.requireSite();
        if (event instanceof CaptureEvent.FrameRecorded recorded) {
            frameRecorded(recorded);
        } else if (event instanceof CaptureEvent.ConnectionOpened opened) {
            connections.open(opened.connection(), opened.placer());
        } else if (event instanceof CaptureEvent.ConnectionClosed closed) {
            connections.close(closed.connection()).ifPresent(attemptHandler::connectionBroken);
        } else if (event instanceof CaptureEvent.PlacerKilled killed) {
            forgetPlacer(killed.placer());
        } else if (event instanceof CaptureEvent.PlacerPaused paused) {
            pauses.pause(paused.placer(), paused.untilMicros());
        } else if (event instanceof CaptureEvent.ReaderSlowed slowed) {
            connections
                    .find(slowed.connection())
                    .ifPresent(connection -> connection.slowReaderUntil(slowed.untilMicros()));
        } else if (event instanceof CaptureEvent.UnknownRow unknown) {
            context.report(Rule.READABLE, "unknown line " + unknown.kind());
        }
    }

    private void frameRecorded(CaptureEvent.FrameRecorded recorded) {
        connections
                .find(recorded.connection())
                .ifPresentOrElse(
                        connection -> frameHandler.handle(connection, recorded.frame()),
                        () ->
                                context.report(
                                        Rule.READABLE,
                                        "a frame on link %d, which is not open"
                                                .formatted(recorded.connection())));
    }

    /** A killed placer has lost its state, and its clients request their tasks again. */
    private void forgetPlacer(String placer) {
        tasks.forgetPlacer(placer);
        attempts.forgetPlacer(placer);
        spreadChecker.forgetPlacer(placer);
        drainChecker.forgetPlacer(placer);
        resultChecker.forgetPlacer(placer);
    }

    private Verdict finish() {
        confirmUnexcused(Long.MAX_VALUE);
        resultChecker.checkAllAnswered();
        return new Verdict(
                context.violations(),
                context.lineNumber(),
                requestHandler.requestCount(),
                resultChecker.resultCount(),
                offerHandler.offerCount(),
                startChecker.startCount());
    }
}
