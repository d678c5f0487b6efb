package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Fail;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.Reject;
import thornferry.decisions.placement.Placement.Settings;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.placement.Placement.TopologyScope;

/**
 * The negative results of a request: determines when a task must not be offered again, and whether
 * its request is rejected or failed.
 */
final class RejectOrFail {
    /** No hint when to retry, since it is not known when capacity will be free. */
    private static final long NO_RETRY_AFTER_MICROS = 0;

    private final Settings settings;
    private final EventContext context;

    RejectOrFail(Settings settings, EventContext context) {
        this.settings = settings;
        this.context = context;
    }

    /** Returns whether the task must not be offered again. */
    boolean isRetryForbidden(TrackedTask task) {
        boolean isNonIdempotent = task.taskClass().idempotency() == Idempotency.NON_IDEMPOTENT;
        return task.attempts() >= settings.limits().maxAttempts()
                || (task.mayHaveRun() && isNonIdempotent)
                || (task.isRestrictedToKeyScope() && isKeyWindowExpired(task));
    }

    /** Returns whether the idempotency key may expire before an offer that is sent now arrives. */
    private boolean isKeyWindowExpired(TrackedTask task) {
        long keyExpiresMicros =
                task.possibleRun().sentAtMicros() + task.taskClass().keyWindowMicros();
        return context.nowMicros() >= keyExpiresMicros - Policy.TICK_INTERVAL_MICROS;
    }

    /** Sends a rejection if the client may safely retry, a failure otherwise. */
    void send(TrackedTask task) {
        task.finish();
        context.emit(
                isSafeToRetry(task)
                        ? new Reject(task.id(), NO_RETRY_AFTER_MICROS)
                        : new Fail(task.id()));
    }

    private static boolean isSafeToRetry(TrackedTask task) {
        TaskClass taskClass = task.taskClass();
        return !task.mayHaveRun()
                || taskClass.idempotency() == Idempotency.IDEMPOTENT
                || (taskClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && taskClass.keyScope() == TopologyScope.ALL);
    }
}
