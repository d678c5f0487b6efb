package thornferry.testbed.audit;

import java.util.ArrayList;
import java.util.List;
import thornferry.testbed.audit.TraceAuditor.Violation;

/**
 * Results that seem late and passed before the receipt of their request. If the receipt follows
 * within the slack, the placer had read the request only just before, and the time that it may take
 * counts from then; otherwise the result is a violation.
 */
final class LateResults {
    /**
     * A late result that awaits the receipt of its request.
     *
     * @param connection of the request and of the result
     * @param violation to report if the receipt does not follow
     */
    private record PendingLateResult(
            TracedConnection connection, TaskKey task, Violation violation) {}

    private final AuditContext context;
    private final List<PendingLateResult> pending = new ArrayList<>();

    LateResults(AuditContext context) {
        this.context = context;
    }

    /** Keeps a violation until the receipt of the task's request can no longer excuse it. */
    void awaitReceipt(TracedConnection connection, TaskKey task, Violation violation) {
        pending.add(new PendingLateResult(connection, task, violation));
    }

    /** The receipt of a request has followed the result. */
    void receiptFollowed(TracedConnection connection, TaskKey task) {
        pending.removeIf(late -> late.connection() == connection && late.task().equals(task));
    }

    /** Reports the late results from before that time: no receipt has excused them since. */
    void confirm(long beforeMicros) {
        pending.removeIf(
                late -> {
                    boolean confirmed = late.violation().atMicros() < beforeMicros;
                    if (confirmed) {
                        context.report(late.violation());
                    }
                    return confirmed;
                });
    }
}
