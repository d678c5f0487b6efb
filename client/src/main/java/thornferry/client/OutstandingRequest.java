package thornferry.client;

import java.util.concurrent.CompletableFuture;
import thornferry.protocol.v1.Task;
import thornferry.protocol.v1.TaskNews;

/** A request for a task that has been submitted and has no result yet. */
final class OutstandingRequest {
    /**
     * The maximum wait assumed here for a task that sets none; the placer applies its own limit.
     */
    private static final long DEFAULT_MAX_WAIT_MILLIS = 60_000;

    /** The time after the maximum wait in which a result may still arrive over the network. */
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

    /** Returns the time after submission at which the request fails if there is no result. */
    long timeoutMillis() {
        return timeoutMillis(task);
    }

    CompletableFuture<TaskNews> result() {
        return result;
    }

    /**
     * Returns the task with its remaining maximum wait, so that a retry does not restart the wait.
     */
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
