package thornferry.testbed.audit;

import java.util.List;
import java.util.Optional;

/** Traces each offer as an attempt of its task, after all rules have checked it. */
final class OfferHandler {
    private final AuditContext context;
    private final TracedTasks tasks;
    private final TracedAttempts attempts;
    private final List<OfferChecker> checkers;
    private long offerCount;

    /**
     * @param checkers in the order in which their violations are reported
     */
    OfferHandler(
            AuditContext context,
            TracedTasks tasks,
            TracedAttempts attempts,
            List<OfferChecker> checkers) {
        this.context = context;
        this.tasks = tasks;
        this.attempts = attempts;
        this.checkers = List.copyOf(checkers);
    }

    void offered(TracedConnection connection, FrameEvent.TaskOffered offer) {
        offerCount++;
        TaskKey key = new TaskKey(connection.placer(), Optional.of(offer.owner()), offer.taskId());
        Optional<TracedTask> task = tasks.find(key);
        if (task.isPresent()) {
            offered(connection, offer, task.get());
        } else {
            context.report(
                    Rule.ONE_RESULT_IN_TIME,
                    "task %s is offered to %s but nobody asked for it"
                            .formatted(offer.taskId(), offer.node()));
        }
    }

    private void offered(
            TracedConnection connection, FrameEvent.TaskOffered offer, TracedTask task) {
        TracedAttempt attempt =
                new TracedAttempt(
                        offer.attemptId(),
                        task,
                        offer.node(),
                        context.nowMicros(),
                        connection.number());
        checkers.forEach(checker -> checker.checkOffer(attempt));
        task.addAttempt(attempt);
        attempts.add(attempt);
    }

    long offerCount() {
        return offerCount;
    }
}
