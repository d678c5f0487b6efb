package thornferry.decisions.attempts;

import thornferry.decisions.placement.Placement.Idempotency;

/**
 * The offer of an attempt to a machine: the immutable part of the attempt.
 *
 * @param attemptId the id of the attempt, unique across placers and their incarnations
 * @param requestId the request that the attempt belongs to
 * @param number the number of the attempt within its request, from 0
 * @param incarnation the incarnation of the machine at the time of the offer
 * @param idempotency whether the task may start twice
 * @param sentAtMicros the time at which the offer was made
 * @param expiresAtMicros the time at which an attempt that is still open is cancelled
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
