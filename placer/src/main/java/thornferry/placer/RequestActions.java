package thornferry.placer;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.admission.AdmissionQueue;
import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.diagnosis.TaskSubmission;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.requests.RequestResult;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;

/** Carries out the actions of the {@link RequestTracker} on the requests of clients. */
final class RequestActions implements Consumer<RequestTracker.Action> {
    private static final Logger LOG = LoggerFactory.getLogger(RequestActions.class);
    private static final String NO_MACHINE = "";

    private final PlacerComponents components;
    private long resultCount;

    RequestActions(PlacerComponents components) {
        this.components = components;
    }

    /** Returns the number of first results; repeated notifications of a result are not counted. */
    long resultCount() {
        return resultCount;
    }

    @Override
    public void accept(RequestTracker.Action action) {
        long now = components.clock().now();
        if (action instanceof RequestTracker.RequestSubmitted waiting) {
            waiting(now, waiting);
        } else if (action instanceof RequestTracker.Dispatch dispatch) {
            components.admissionActions.enqueue(now, dispatch);
        } else if (action instanceof RequestTracker.RequestCompleted completed) {
            completed(now, completed);
        } else if (action instanceof RequestTracker.TaskFinished finished) {
            finished(now, finished);
        } else if (action instanceof RequestTracker.Notify notify) {
            notifyClient(notify.notification());
        } else if (action instanceof RequestTracker.Abandon abandon) {
            abandon(now, abandon);
        }
    }

    private void waiting(long now, RequestTracker.RequestSubmitted waiting) {
        components.reasons.submitted(
                now,
                new TaskSubmission(
                        waiting.owner(),
                        waiting.tenant(),
                        waiting.spec().id(),
                        waiting.spec().idempotencyKey(),
                        waiting.idempotentWithKey(),
                        waiting.deferred(),
                        waiting.awaitsProof()
                                ? components.recovery.machineWithMissingProof(
                                        waiting.owner(), waiting.spec().id())
                                : NO_MACHINE));
    }

    private void completed(long now, RequestTracker.RequestCompleted completed) {
        if (completed.requestId() != null) {
            components.admissionActions.forget(completed.requestId());
        }
        if (completed.idempotency() != Placement.Idempotency.IDEMPOTENT
                && completed.result() != RequestResult.REJECTED) {
            components.journal.persistBeforeNotifying(
                    completed.owner(), completed.spec().id(), completedRecord(now, completed));
        }
        components.reasons.completed(
                now,
                completed.owner(),
                completed.spec().id(),
                state(completed.result()),
                completed.machine());
        if (completed.requestId() == null) {
            return;
        }
        if (completed.result() == RequestResult.PLACED) {
            components.admissionQueue.recordPlacement(
                    now, completed.requestId(), components.admissionActions);
        } else {
            components.admissionQueue.recordEnd(
                    now, completed.requestId(), components.admissionActions);
        }
    }

    private static JournalRecord completedRecord(
            long now, RequestTracker.RequestCompleted completed) {
        return new JournalRecord.Completed(
                now,
                completed.owner(),
                completed.tenant(),
                completed.spec(),
                completed.idempotency(),
                completed.result(),
                completed.machine(),
                completed.reason());
    }

    private void finished(long now, RequestTracker.TaskFinished finished) {
        if (finished.idempotency() != Placement.Idempotency.IDEMPOTENT) {
            components.journal.persistBeforeNotifying(
                    finished.owner(),
                    finished.task(),
                    new JournalRecord.Finished(
                            now, finished.owner(), finished.task(), finished.terminationCause()));
        }
        components.reasons.finished(now, finished.owner(), finished.task());
        if (finished.requestId() != null) {
            components.admissionQueue.recordEnd(
                    now, finished.requestId(), components.admissionActions);
        }
    }

    private void notifyClient(ResultNotification notification) {
        if (notification.result() != null && !notification.repeated()) {
            resultCount++;
        }
        LOG.atDebug()
                .addKeyValue("instance", components.instance.name())
                .addKeyValue("task", notification.task())
                .addKeyValue("node", notification.machine())
                .log(
                        "{}",
                        notification.result() == null
                                ? notification.terminationCause()
                                : notification.result());
        components.journal.notifyResult(notification);
    }

    private void abandon(long now, RequestTracker.Abandon abandon) {
        String requestId = abandon.requestId();
        components.admissionActions.forget(requestId);
        components.attempts.cancel(
                requestId, abandon.terminationCause(), components.attemptActions);
        components.policy.accept(new Placement.ClientDisconnected(requestId));
        if (components.admissionQueue.status(now, requestId).stage()
                != AdmissionQueue.Stage.PLACED) {
            components.admissionQueue.recordEnd(now, requestId, components.admissionActions);
        }
    }

    private static PendingReasons.State state(RequestResult result) {
        return switch (result) {
            case PLACED -> PendingReasons.State.PLACED;
            case REJECTED -> PendingReasons.State.REJECTED;
            case FAILED -> PendingReasons.State.FAILED;
        };
    }
}
