package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import thornferry.testbed.audit.TraceAuditor.Violation;

/** Rule 1: every request has exactly one result, in time, and nothing is offered after it. */
final class ResultChecker implements OfferChecker {
    private record MessageKey(String placer, String messageId) {}

    private final AuditContext context;
    private final TracedConnections connections;
    private final TracedTasks tasks;
    private final PlacerPauses pauses;
    private final RetryChecker retryChecker;
    private final LateResults lateResults;

    /** What each message says; one message may go to several sessions of a client. */
    private final Map<MessageKey, String> contentByMessage = new HashMap<>();

    /** Results of non-idempotent tasks, also those sent before their placer was killed. */
    private final Map<TaskKey, RequestOutcome> firstOutcomes = new HashMap<>();

    private long resultCount;

    ResultChecker(
            AuditContext context,
            TracedConnections connections,
            TracedTasks tasks,
            PlacerPauses pauses,
            RetryChecker retryChecker,
            LateResults lateResults) {
        this.context = context;
        this.connections = connections;
        this.tasks = tasks;
        this.pauses = pauses;
        this.retryChecker = retryChecker;
        this.lateResults = lateResults;
    }

    /** A placer notifies a client of a result, or of a later event of its task. */
    void notified(TracedConnection connection, FrameEvent.ClientNotified notification) {
        Optional<TracedTask> found = tasks.find(connection.taskKey(notification.taskId()));
        if (found.isPresent()) {
            notified(connection, found.get(), notification);
        } else if (notification.event().isEmpty()) {
            context.report(
                    Rule.ONE_RESULT_IN_TIME,
                    "a result for task %s, which %s never asked for"
                            .formatted(notification.taskId(), loginOf(connection)));
        }
    }

    private void notified(
            TracedConnection connection, TracedTask task, FrameEvent.ClientNotified notification) {
        boolean seenBefore = checkSameContent(connection, notification);
        Optional<RequestOutcome> outcome = notification.outcome();
        if (notification.repeated() && task.isPending()) {
            outcome.ifPresent(task::answerByRepeat);
        }
        outcome.ifPresent(result -> checkSurvivesKill(task, result));
        if (notification.repeated() || seenBefore) {
            return;
        }
        if (notification.event().isPresent()) {
            task.taskEvent(notification.event().get());
            return;
        }
        resultCount++;
        task.countResult();
        checkCount(task);
        checkInTime(connection, task);
        if (outcome.equals(Optional.of(RequestOutcome.REJECTED))) {
            retryChecker.checkRejection(task);
        }
        task.answer(context.nowMicros(), outcome);
    }

    /**
     * @return whether the message was sent before
     */
    private boolean checkSameContent(
            TracedConnection connection, FrameEvent.ClientNotified notification) {
        MessageKey key = new MessageKey(connection.placer(), notification.messageId());
        String earlier = contentByMessage.putIfAbsent(key, notification.content());
        if (earlier == null) {
            return false;
        }
        if (!earlier.equals(notification.content())) {
            context.report(
                    Rule.ONE_RESULT_IN_TIME,
                    "message %s says '%s' to one session of %s and '%s' to another"
                            .formatted(
                                    notification.messageId(),
                                    notification.content(),
                                    loginOf(connection),
                                    earlier));
        }
        return true;
    }

    /** A durable placer gives a non-idempotent task the same result before and after a kill. */
    private void checkSurvivesKill(TracedTask task, RequestOutcome outcome) {
        boolean durable =
                context.resultsSurviveKill()
                        && task.idempotency() == Idempotency.NON_IDEMPOTENT
                        && (outcome == RequestOutcome.PLACED || outcome == RequestOutcome.FAILED);
        if (!durable) {
            return;
        }
        RequestOutcome first = firstOutcomes.putIfAbsent(task.key(), outcome);
        if (first != null && first != outcome) {
            context.report(
                    Rule.ONE_RESULT_IN_TIME,
                    "%s is told %s after it was told %s"
                            .formatted(
                                    task.displayName(),
                                    outcome.protocolName(),
                                    first.protocolName()));
        }
    }

    private void checkCount(TracedTask task) {
        if (task.hasMoreResultsThanRequests()) {
            context.report(
                    Rule.ONE_RESULT_IN_TIME,
                    "%s has %d results for %d asks"
                            .formatted(
                                    task.displayName(), task.resultCount(), task.requestCount()));
        }
    }

    private void checkInTime(TracedConnection connection, TracedTask task) {
        long latestDueMicros =
                pauses.afterPause(connection.placer(), task.deadline().latestDueMicros());
        long lateMicros = context.nowMicros() - latestResultMicros(latestDueMicros);
        if (task.isPending()
                && lateMicros > 0
                && connection.receivedResultsBefore(task.deadline().dueMicros())
                && !maySlowReaderDelay(connection)) {
            reportLate(connection, task, lateMicros);
        }
    }

    private void reportLate(TracedConnection connection, TracedTask task, long lateMicros) {
        Violation violation =
                context.violationHere(
                        Rule.ONE_RESULT_IN_TIME,
                        "%s: its result came %d ms too late"
                                .formatted(
                                        task.displayName(),
                                        lateMicros / AuditContext.MICROS_PER_MILLI));
        if (mayReceiptFollow(connection, task)) {
            lateResults.awaitReceipt(connection, task.key(), violation);
        } else {
            context.report(violation);
        }
    }

    /** Whether the result may have passed before the receipt of its request. */
    private boolean mayReceiptFollow(TracedConnection connection, TracedTask task) {
        return !task.isAcknowledged()
                && connections.find(task.requestConnection()).equals(Optional.of(connection));
    }

    private long latestResultMicros(long dueMicros) {
        return dueMicros + context.rules().answerGraceMicros() + context.slackMicros();
    }

    /** Whether what is recorded now may have been held back by the proxy itself. */
    private boolean maySlowReaderDelay(TracedConnection connection) {
        return connection.slowReaderUntilMicros() + context.slackMicros() >= context.nowMicros();
    }

    /** Nothing is offered for a task that was answered; its last offer may be recorded late. */
    @Override
    public void checkOffer(TracedAttempt offered) {
        TracedTask task = offered.task();
        boolean mayBeOffered =
                task.isPending()
                        || task.isRequestedAnew()
                        || context.nowMicros() - task.answeredAtMicros() <= context.slackMicros();
        if (!mayBeOffered) {
            context.report(
                    Rule.ONE_RESULT_IN_TIME,
                    "%s is offered to %s after its result %s"
                            .formatted(task.displayName(), offered.node(), task.outcomeName()));
        }
    }

    void forgetPlacer(String placer) {
        contentByMessage.keySet().removeIf(message -> message.placer().equals(placer));
    }

    /** At the end of the capture: reports the requests that should have had a result. */
    void checkAllAnswered() {
        for (TracedTask task : tasks.all()) {
            boolean overdue =
                    context.nowMicros() > latestResultMicros(task.deadline().latestDueMicros());
            if (task.isPending() && overdue && isSurelyTaken(task) && isClientListening(task)) {
                context.report(
                        context.violationAt(
                                task.requestLine(),
                                Rule.ONE_RESULT_IN_TIME,
                                task.displayName()
                                        + " never had a result, though its owner listened"));
            }
        }
    }

    /** A request without receipt on a connection that broke may never have been read. */
    private boolean isSurelyTaken(TracedTask task) {
        return task.isAcknowledged() || connections.isOpen(task.requestConnection());
    }

    private boolean isClientListening(TracedTask task) {
        long listeningBeforeMicros =
                Math.min(task.deadline().dueMicros(), context.orderedBeforeMicros());
        return connections.all().stream()
                .anyMatch(
                        connection ->
                                connection.isSubscribedToResults()
                                        && connection.login().equals(task.key().owner())
                                        && connection.placer().equals(task.placer())
                                        && connection.receivedResultsBefore(listeningBeforeMicros)
                                        && !maySlowReaderDelay(connection));
    }

    private static String loginOf(TracedConnection connection) {
        return connection.login().orElse(TaskKey.UNKNOWN_OWNER);
    }

    long resultCount() {
        return resultCount;
    }
}
