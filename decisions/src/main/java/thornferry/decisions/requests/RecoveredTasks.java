package thornferry.decisions.requests;

import java.util.function.Consumer;
import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.PlacementRequest;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.requests.RequestTracker.Action;

/**
 * Processes what becomes known about tasks of earlier incarnations of the placer. If the owner has
 * requested such a task again in the meantime, that request is completed; otherwise the result is
 * retained for a later request.
 */
final class RecoveredTasks {
    private final RequestValidator validator;
    private final RequestIndex index;
    private final RequestLifecycle lifecycle;
    private final StartupSettling settling;
    private final PendingNotifications notifications;

    RecoveredTasks(
            RequestValidator validator,
            RequestIndex index,
            RequestLifecycle lifecycle,
            StartupSettling settling,
            PendingNotifications notifications) {
        this.validator = validator;
        this.index = index;
        this.lifecycle = lifecycle;
        this.settling = settling;
        this.notifications = notifications;
    }

    /**
     * Retains a result of an earlier incarnation.
     *
     * @param cause how the placed task terminated, or null if it may still run
     */
    void restore(long now, OwnedTask task, RequestOutcome outcome, TerminationCause cause) {
        TaskClass taskClass = validator.classOf(task.spec());
        if (taskClass == null) {
            return; // the class is no longer configured, so that the task cannot be requested
        }
        RequestEntry entry = new RequestEntry(task, taskClass);
        RequestEntry replaced = index.put(entry);
        if (replaced != null) {
            lifecycle.removeRetained(replaced);
            index.removeRequestId(replaced);
        }
        ResultNotification result = notifications.createResult(entry, outcome, true);
        if (outcome.result() == RequestResult.FAILED) {
            entry.complete(result);
        } else {
            entry.restoreUnconfirmed(result);
        }
        if (cause != null) {
            entry.finish(notifications.createTermination(entry, outcome.machine(), cause, true));
        }
        if (entry.state() != RequestState.PLACED_UNCONFIRMED) {
            lifecycle.retain(now, entry);
        }
    }

    /** See {@link RequestTracker#provenNotRun}. */
    void provenNotRun(long now, String taskKey, Consumer<Action> actions) {
        RequestEntry entry = index.find(taskKey);
        if (entry == null || entry.state() != RequestState.AWAITING_PROOF) {
            return;
        }
        if (settling.isOver(now) || entry.idempotency() != Idempotency.NON_IDEMPOTENT) {
            lifecycle.dispatchDeferred(now, entry, actions);
        } else {
            entry.markProvenNotRun();
        }
    }

    /** See {@link RequestTracker#finishedEarlier}. */
    void finishedEarlier(
            long now,
            OwnedTask task,
            String machine,
            TerminationCause cause,
            boolean alreadyNotified,
            Consumer<Action> actions) {
        RequestEntry entry = index.find(task.key());
        boolean unknownClass = entry == null && validator.classOf(task.spec()) == null;
        if (unknownClass || hasOwnResult(entry)) {
            return;
        }
        RequestOutcome placed = RequestOutcome.placedEarlier(machine);
        if (entry != null && entry.isPending()) {
            lifecycle.abandon(entry, actions);
            lifecycle.complete(now, entry, placed, actions);
        } else if (entry == null || entry.state() != RequestState.PLACED_UNCONFIRMED) {
            if (alreadyNotified) {
                restore(now, task, placed, cause);
                return;
            }
            restore(now, task, placed, null);
            entry = index.find(task.key());
            RequestOutcome withoutReason = RequestOutcome.placed(machine);
            actions.accept(RequestLifecycle.completedAction(entry, null, task, withoutReason));
        }
        lifecycle.finish(now, entry, machine, cause, actions);
    }

    /** See {@link RequestTracker#mayHaveRun}. */
    void mayHaveRun(long now, OwnedTask task, String reason, Consumer<Action> actions) {
        RequestEntry entry = index.find(task.key());
        if (validator.classOf(task.spec()) == null || hasOwnResult(entry)) {
            return;
        }
        RequestOutcome failed = RequestOutcome.failed(reason);
        if (entry != null && entry.isPending()) {
            lifecycle.abandon(entry, actions);
            lifecycle.complete(now, entry, failed, actions);
        } else {
            // no request waits for the task; a later one receives this result
            restore(now, task, failed, null);
            RequestEntry restored = index.find(task.key());
            actions.accept(RequestLifecycle.completedAction(restored, null, task, failed));
        }
    }

    /** See {@link RequestTracker#becameIndeterminate}. */
    void becameIndeterminate(long now, String taskKey, String machine, Consumer<Action> actions) {
        RequestEntry entry = index.find(taskKey);
        if (entry != null && entry.state() == RequestState.AWAITING_PROOF) {
            String reason = RequestMessages.mayHaveRunForgottenBy(machine);
            lifecycle.complete(now, entry, RequestOutcome.failed(reason), actions);
        }
    }

    /** See {@link RequestTracker#adopt}. */
    PlacementRequest adopt(long now, OwnedTask task, String machine, Consumer<Action> actions) {
        RequestEntry entry = index.find(task.key());
        if (entry == null) {
            TaskClass taskClass = validator.classOf(task.spec());
            if (taskClass == null) {
                return null;
            }
            entry = new RequestEntry(task, taskClass);
            index.put(entry);
        } else if (mustNotBeAdopted(entry)) {
            return null;
        }
        boolean pending = entry.isPending();
        if (pending) {
            lifecycle.abandon(entry, actions);
            index.removeRequestId(entry);
        }
        lifecycle.removeRetained(entry);
        index.assignRequestId(entry);
        if (pending) {
            lifecycle.complete(now, entry, RequestOutcome.placedEarlier(machine), actions);
        } else {
            RequestOutcome outcome = RequestOutcome.placedEarlier(machine);
            entry.complete(notifications.createResult(entry, outcome, false));
            actions.accept(
                    RequestLifecycle.completedAction(
                            entry, entry.requestId(), task, RequestOutcome.placed(machine)));
        }
        return RequestLifecycle.placementRequest(entry, task.spec(), task.tenant(), 0, true);
    }

    /**
     * Returns whether the task runs on another machine, or its owner was told that it does not run.
     */
    private static boolean mustNotBeAdopted(RequestEntry entry) {
        return switch (entry.state()) {
            case FAILED, PLACED -> true;
            case FINISHED -> !entry.mayBeResubmitted();
            case NEW, SETTLING, AWAITING_PROOF, DISPATCHED, REJECTED, PLACED_UNCONFIRMED -> false;
        };
    }

    /**
     * Returns whether this incarnation has given the task a result that takes precedence over what
     * machines report later. A rejection does not take precedence, as the owner may request the
     * task again after it.
     */
    private static boolean hasOwnResult(RequestEntry entry) {
        return entry != null
                && switch (entry.state()) {
                    case FAILED, PLACED, FINISHED -> true;
                    case NEW, SETTLING, AWAITING_PROOF, DISPATCHED, REJECTED, PLACED_UNCONFIRMED ->
                            false;
                };
    }
}
