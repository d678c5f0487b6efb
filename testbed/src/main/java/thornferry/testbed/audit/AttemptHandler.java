package thornferry.testbed.audit;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Follows attempts from their offers to their ends: by what nodes report, what they register with,
 * what placers withdraw, and which connections break.
 */
final class AttemptHandler {
    private final AuditContext context;
    private final TracedAttempts attempts;
    private final TracedNodes nodes;
    private final RetryChecker retryChecker;
    private final DuplicateStartChecker startChecker;
    private final SpreadChecker spreadChecker;

    AttemptHandler(
            AuditContext context,
            TracedAttempts attempts,
            TracedNodes nodes,
            RetryChecker retryChecker,
            DuplicateStartChecker startChecker,
            SpreadChecker spreadChecker) {
        this.context = context;
        this.attempts = attempts;
        this.nodes = nodes;
        this.retryChecker = retryChecker;
        this.startChecker = startChecker;
        this.spreadChecker = spreadChecker;
    }

    /** A node reports on an attempt, at once or when it registers. */
    void reported(TracedConnection connection, AttemptReport report) {
        Optional<TracedAttempt> found = attempts.findKnown(report.attemptId());
        if (found.isEmpty()) {
            return;
        }
        TracedAttempt attempt = found.get();
        if (!connection.isEndedByError()) {
            apply(report, attempt);
        } else if (report.kind() == AttemptReport.Kind.RUNNING) {
            // the placer does not read it, but the task did start
            started(attempt.id(), attempt.node());
        }
    }

    private void apply(AttemptReport report, TracedAttempt attempt) {
        switch (report.kind()) {
            case ACCEPTED -> attempt.acceptAt(context.nowMicros());
            case REJECTED -> {
                attempt.settle();
                attempt.proveNotRun();
                finish(attempt);
            }
            case RUNNING -> {
                attempt.acceptAt(context.nowMicros());
                started(attempt.id(), attempt.node());
            }
            case ENDED -> {
                attempt.acceptEarlier();
                attempt.settle();
                finish(attempt);
            }
            case WITHDRAWN -> {
                if (!attempt.isAccepted() && !report.hasRun()) {
                    attempt.proveNotRun();
                }
                finish(attempt);
            }
            default -> {} // says nothing on how far the attempt has come
        }
    }

    /** A node registers: its inventory tells what became of the attempts offered before. */
    void registered(TracedConnection connection, FrameEvent.NodeRegistered registration) {
        connection.registerNode();
        boolean restarted =
                nodes.findOrAdd(registration.node()).register(registration, context.nowMicros());
        registration.held().stream()
                .filter(FrameEvent.HeldAttempt::running)
                .forEach(held -> started(held.attemptId(), registration.node()));
        registration.recent().forEach(report -> reported(connection, report));
        Set<String> heldIds =
                registration.held().stream()
                        .map(FrameEvent.HeldAttempt::attemptId)
                        .collect(Collectors.toSet());
        for (TracedAttempt attempt : attempts.allKnown()) {
            if (isSubjectToInventory(attempt, connection, registration.node())) {
                reconcile(attempt, restarted, heldIds.contains(attempt.id()));
            }
        }
    }

    /** Whether the attempt was offered to the node by this placer on an earlier connection. */
    private static boolean isSubjectToInventory(
            TracedAttempt attempt, TracedConnection connection, String node) {
        return attempt.node().equals(node)
                && !attempt.isSettled()
                && attempt.connection() != connection.number()
                && attempt.task().placer().equals(connection.placer());
    }

    private void reconcile(TracedAttempt attempt, boolean nodeRestarted, boolean held) {
        if (nodeRestarted) {
            finish(attempt);
        } else if (held) {
            attempt.acceptEarlier();
        } else {
            if (!attempt.isAccepted()) {
                attempt.proveNotRun(); // the same incarnation never received it
            }
            finish(attempt);
        }
    }

    /** A placer withdraws an offer. */
    void withdrawn(String attemptId) {
        attempts.findKnown(attemptId)
                .ifPresent(
                        attempt -> {
                            attempt.settle();
                            abandon(attempt);
                        });
    }

    /**
     * A connection has broken or is no longer read. The placer gives up the attempts that were sent
     * on it and are not accepted: their end is unknown. An acceptance within the slack may be
     * unread. Whether the placer waited for better proof than that cannot be seen.
     */
    void connectionBroken(TracedConnection connection) {
        if (!connection.isOfNode()) {
            return;
        }
        for (TracedAttempt attempt : attempts.allKnown()) {
            boolean acceptanceRead =
                    attempt.isAccepted()
                            && attempt.acceptedAtMicros() <= context.orderedBeforeMicros();
            if (attempt.connection() == connection.number() && !acceptanceRead) {
                abandon(attempt);
            }
        }
    }

    private void abandon(TracedAttempt attempt) {
        retryChecker.attemptAbandoned(attempt);
        finish(attempt);
    }

    private void finish(TracedAttempt attempt) {
        attempt.finish();
        spreadChecker.attemptFinished(attempt);
    }

    /** Also counts attempts of placers that were killed since; when they sent them is lost. */
    private void started(String attemptId, String node) {
        long offeredAtMicros =
                attempts.findKnown(attemptId)
                        .map(TracedAttempt::offeredAtMicros)
                        .orElse(context.nowMicros());
        attempts.findEverOffered(attemptId)
                .ifPresent(attempt -> startChecker.started(attempt, node, offeredAtMicros));
    }
}
