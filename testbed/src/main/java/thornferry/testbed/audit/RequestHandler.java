package thornferry.testbed.audit;

import java.util.Optional;

/** Follows requests until their results: when each was sent, taken or rejected, and when due. */
final class RequestHandler {
    private final AuditContext context;
    private final TracedConnections connections;
    private final TracedTasks tasks;
    private final PlacerPauses pauses;
    private final LateResults lateResults;
    private long requestCount;

    RequestHandler(
            AuditContext context,
            TracedConnections connections,
            TracedTasks tasks,
            PlacerPauses pauses,
            LateResults lateResults) {
        this.context = context;
        this.connections = connections;
        this.tasks = tasks;
        this.pauses = pauses;
        this.lateResults = lateResults;
    }

    /** A client sends a request; one of an unknown class is rejected by the placer. */
    void requested(TracedConnection connection, FrameEvent.TaskRequested request) {
        context.taskClass(request.taskClass())
                .ifPresent(taskClass -> requested(connection, request, taskClass));
    }

    private void requested(
            TracedConnection connection, FrameEvent.TaskRequested request, TaskClass taskClass) {
        requestCount++;
        TaskKey key = connection.taskKey(request.taskId());
        request.receipt().ifPresent(receipt -> connection.requestReceipt(receipt, key));
        TracedTask task = tasks.findOrAdd(key, taskClass);
        task.countRequest(request.service(), request.idempotencyKey());
        long maxWaitMicros = maxWaitMicros(request, taskClass);
        if (task.isNewRequest()) {
            long readAtMicros = pauses.afterPause(connection.placer(), context.nowMicros());
            task.beginRequest(context.lineNumber(), readAtMicros, maxWaitMicros);
        } else if (task.isPending() && !connections.isOpen(task.requestConnection())) {
            // the result may have gone to the broken connection; if it was a rejection, the placer
            // takes this for a new request
            task.resendRequest(context.nowMicros(), maxWaitMicros);
        }
        task.requestedOn(connection.number());
    }

    private long maxWaitMicros(FrameEvent.TaskRequested request, TaskClass taskClass) {
        return Math.min(
                request.maxWaitMicros().orElse(taskClass.deadlineMicros()),
                context.rules().maxWaitMicros());
    }

    /** The placer has taken the request of a receipt: it may have been paused before. */
    void acknowledged(TracedConnection connection, String receipt) {
        Optional<TaskKey> key = connection.requestOfReceipt(receipt);
        key.ifPresent(task -> lateResults.receiptFollowed(connection, task));
        key.flatMap(tasks::find)
                .filter(task -> task.isPending() && !task.isAcknowledged())
                .ifPresent(task -> task.acknowledge(context.nowMicros()));
    }

    /** The placer has answered the request of a receipt by an ERROR. */
    void rejectedByError(TracedConnection connection, String receipt) {
        connection
                .requestOfReceipt(receipt)
                .flatMap(tasks::find)
                .ifPresent(TracedTask::dropOnlyRequest);
    }

    long requestCount() {
        return requestCount;
    }
}
