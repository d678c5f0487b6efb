package thornferry.decisions.requests;

import thornferry.decisions.attempts.TerminationCause;

/**
 * A notification of an owner: the result of a request, or the termination of a placed task.
 *
 * @param sequence an ascending number, unique within an incarnation of the placer
 * @param result the result of the request, null with a termination
 * @param terminationCause why the task terminated, null with a result
 * @param machine the machine where the task is or was placed, empty if there is none
 * @param reason a sentence for the owner, empty for none
 * @param retryAfterMicros with a rejection, the time to wait before a retry; 0 otherwise
 * @param repeated whether the owner may have received this notification before
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
