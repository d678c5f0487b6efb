package thornferry.decisions.requests;

import thornferry.decisions.attempts.TerminationCause;

/**
 * What an owner is notified of: the result of a request, or the termination of a placed task.
 *
 * @param sequence ascending; unique within an incarnation of the placer
 * @param result null with a termination
 * @param terminationCause null with a result
 * @param machine where the task is or was placed, empty for nowhere
 * @param reason a sentence for the owner, empty for none
 * @param retryAfterMicros with a rejection: how long to wait before a retry; 0 otherwise
 * @param repeated whether the owner may have received it before
 */
public record ResultNotification(
        long sequence,
        String owner,
        String task,
        RequestResult result,
        TerminationCause terminationCause,
        String machine,
        String reason,
        long retryAfterMicros,
        boolean repeated) {}
