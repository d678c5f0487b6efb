package thornferry.client;

import java.util.concurrent.CompletableFuture;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/** A submitted task without a result. */
final class OutstandingRequest {
    /** How long a task that sets no maximum wait is requested; the placer has its own limit. */
    private static final long DEFAULT_MAX_WAIT_MILLIS = 60_000;

    /** The result may arrive this long after the maximum wait: the network's round trip. */
    private static final long GRACE_MILLIS = 2_000;

    private final Task task;
    private final long deadlineMillis;
    private final CompletableFuture<TaskNews> result = new CompletableFuture<>();

    OutstandingRequest(Task task, long nowMillis) {
        this.task = task;
        this.deadlineMillis = nowMillis + timeoutMillis(task);
    }

    private static long timeoutMillis(Task task) {
        return (task.hasPatienceMs() ? task.getPatienceMs() : DEFAULT_MAX_WAIT_MILLIS)
                + GRACE_MILLIS;
    }

    String taskId() {
        return task.getId();
    }

    /** Time from the submission until the request fails without a result. */
    long timeoutMillis() {
        return timeoutMillis(task);
    }

    CompletableFuture<TaskNews> result() {
        return result;
    }

    /** The task with its remaining maximum wait, so that a retry doesn't restart the wait. */
    Task taskToSend(long nowMillis) {
        if (!task.hasPatienceMs()) {
            return task;
        }
        long remainingMillis = Math.max(0, deadlineMillis - GRACE_MILLIS - nowMillis);
        return task.toBuilder()
                .setPatienceMs(Math.min(remainingMillis, task.getPatienceMs()))
                .build();
    }

    void fail(String message) {
        result.completeExceptionally(new TaskClient.RequestNotAcceptedException(message));
    }

    /** Completes this request with the outcome of an earlier one for the same task. */
    void completeWith(OutstandingRequest earlier) {
        earlier.result.whenComplete(
                (notification, failure) -> {
                    if (failure == null) {
                        result.complete(notification);
                    } else {
                        result.completeExceptionally(failure);
                    }
                });
    }
}
