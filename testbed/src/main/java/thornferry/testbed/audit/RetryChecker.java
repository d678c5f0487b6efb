package thornferry.testbed.audit;

import java.util.ArrayList;
import java.util.List;
import thornferry.testbed.audit.TraceAuditor.Violation;

/**
 * Rule 2, by the offers: a task is offered again only if the earlier attempt has ended, and has not
 * run or may run twice; and a request is rejected only if a retry is harmless.
 */
final class RetryChecker implements OfferChecker {
    /** Two unfinished attempts of one task; excused if either turns out to be abandoned. */
    private record Overlap(TracedAttempt earlier, TracedAttempt later, Violation violation) {}

    private final AuditContext context;
    private final TracedNodes nodes;
    private final List<Overlap> overlaps = new ArrayList<>();

    RetryChecker(AuditContext context, TracedNodes nodes) {
        this.context = context;
        this.nodes = nodes;
    }

    @Override
    public void checkOffer(TracedAttempt offered) {
        for (TracedAttempt earlier : offered.task().attempts()) {
            if (!earlier.isFinished()) {
                overlaps.add(overlap(earlier, offered));
            } else if (!earlier.isProvenNotRun()) {
                checkRetry(earlier, offered);
            }
        }
    }

    /** The earlier attempt has ended, and may have run. */
    private void checkRetry(TracedAttempt earlier, TracedAttempt offered) {
        Idempotency idempotency = offered.task().idempotency();
        if (idempotency == Idempotency.NON_IDEMPOTENT) {
            reportRetryOfNonIdempotent(earlier, offered);
        } else if (idempotency == Idempotency.IDEMPOTENT_WITH_KEY) {
            checkRetryWithKey(earlier, offered);
        }
    }

    private Overlap overlap(TracedAttempt earlier, TracedAttempt offered) {
        String description =
                "%s is offered to %s while its attempt on %s is out"
                        .formatted(offered.task().displayName(), offered.node(), earlier.node());
        return new Overlap(earlier, offered, context.violationHere(Rule.AT_MOST_ONCE, description));
    }

    private void reportRetryOfNonIdempotent(TracedAttempt earlier, TracedAttempt offered) {
        context.report(
                Rule.AT_MOST_ONCE,
                "%s is offered to %s though it may have run on %s"
                        .formatted(offered.task().displayName(), offered.node(), earlier.node()));
    }

    private void checkRetryWithKey(TracedAttempt earlier, TracedAttempt offered) {
        TaskClass taskClass = offered.task().taskClass();
        boolean sharesKeys =
                nodes.areInSameGroup(taskClass.keyGroup(), earlier.node(), offered.node());
        boolean keyExpired =
                context.nowMicros() - earlier.offeredAtMicros() > taskClass.keyWindowMicros();
        if (sharesKeys && !keyExpired) {
            return;
        }
        context.report(
                Rule.AT_MOST_ONCE,
                "%s may have run on %s and is offered to %s %s"
                        .formatted(
                                offered.task().displayName(),
                                earlier.node(),
                                offered.node(),
                                sharesKeys
                                        ? "after its key's window"
                                        : "outside the group that drops its repeats"));
    }

    /** A request is rejected: none of its attempts may have run, unless it may run again. */
    void checkRejection(TracedTask task) {
        if (!isRetryHarmless(task)) {
            context.report(
                    Rule.AT_MOST_ONCE,
                    task.displayName()
                            + " was refused, which says that trying again is harmless, but an"
                            + " attempt may have run");
        }
    }

    private boolean isRetryHarmless(TracedTask task) {
        // if a later request has been sent, offers of this moment may be its offers
        long ofThisRequestBeforeMicros =
                task.hasUnansweredRequest() ? context.orderedBeforeMicros() : Long.MAX_VALUE;
        return task.taskClass().isAlwaysRetryable()
                || task.attempts().stream()
                        .allMatch(
                                attempt ->
                                        attempt.isProvenNotRun()
                                                || attempt.offeredAtMicros()
                                                        >= ofThisRequestBeforeMicros);
    }

    /** The placer has given the attempt up, perhaps just before the frame that was seen first. */
    void attemptAbandoned(TracedAttempt attempt) {
        overlaps.removeIf(overlap -> overlap.earlier() == attempt || overlap.later() == attempt);
    }

    /** Reports the overlaps from before that time: nothing has excused them since. */
    void confirmOverlaps(long beforeMicros) {
        overlaps.removeIf(
                overlap -> {
                    boolean confirmed = overlap.violation().atMicros() < beforeMicros;
                    if (confirmed) {
                        context.report(overlap.violation());
                    }
                    return confirmed;
                });
    }
}
