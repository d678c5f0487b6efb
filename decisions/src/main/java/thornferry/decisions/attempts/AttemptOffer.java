package thornferry.decisions.attempts;

import thornferry.decisions.placement.Placement.Idempotency;

/**
 * What was offered to which machine; the part of an attempt that never changes.
 *
 * @param attemptId unique across placers and their incarnations
 * @param requestId the request that the attempt belongs to
 * @param number counts the attempts of the request, from 0
 * @param incarnation the incarnation of the machine at the time of the offer
 * @param idempotency whether a second start of the task could do harm
 * @param sentAtMicros when the offer was made
 * @param expiresAtMicros an attempt that is still open then is cancelled
 */
record AttemptOffer(
        String attemptId,
        String requestId,
        int number,
        String machine,
        long incarnation,
        Idempotency idempotency,
        long sentAtMicros,
        long expiresAtMicros) {}
