package thornferry.decisions.recovery;

import thornferry.decisions.placement.Placement.Idempotency;

/**
 * The evidence that the inventory of a registering machine gives about an attempt that an earlier
 * incarnation of the placer offered to it.
 *
 * <table>
 * <caption>Evidence by inventory</caption>
 * <tr><th>the inventory</th><th>evidence</th><th>reason</th></tr>
 * <tr><td>contains the attempt</td><td>none of these: the task is placed</td><td>the task is
 *     adopted by {@code AttemptTracker} and {@code RequestTracker} before</td></tr>
 * <tr><td>remembers that the attempt completed or was evicted</td><td>{@link #TERMINATED}</td>
 *     <td>the task was placed</td></tr>
 * <tr><td>remembers that the attempt was cancelled after its start</td>
 *     <td>{@link #CANCELLED_AFTER_START}</td><td>the task started and did not complete</td></tr>
 * <tr><td>remembers that the attempt was rejected, or cancelled before its start (or reports
 *     another status, which no ended attempt has)</td><td>{@link #NEVER_RAN}
 *     </td><td>the machine reports it</td></tr>
 * <tr><td>is of the same machine incarnation, neither contains nor remembers the attempt, and is
 *     complete since before the offer</td><td>{@link #NEVER_RAN}</td><td>the offer never arrived:
 *     a machine registers only after its previous connection is closed on its side</td></tr>
 * <tr><td>the same, but it is complete only since after the offer</td>
 *     <td>{@link #INDETERMINATE}</td>
 *     <td>the machine may have forgotten the attempt</td></tr>
 * <tr><td>the same, but the time of the offer is in the future</td><td>{@link #INDETERMINATE}</td>
 *     <td>the clock was set back after the offer: the times cannot be compared</td></tr>
 * <tr><td>is of another machine incarnation, and does not remember the attempt</td><td>{@link
 *     #INDETERMINATE}</td><td>a machine does not remember the attempts of its earlier
 *     incarnations</td></tr>
 * </table>
 *
 * <p>{@code INDETERMINATE} is final: no later inventory can prove whether the attempt ran.
 */
enum AttemptEvidence {
    TERMINATED,
    CANCELLED_AFTER_START,
    NEVER_RAN,
    INDETERMINATE;

    /** Returns the evidence about an attempt that the machine remembers. */
    static AttemptEvidence of(RetainedAttempt attempt) {
        return switch (attempt.status()) {
            case COMPLETED, EVICTED, EVACUATED -> TERMINATED;
            case CANCELLED -> attempt.ran() ? CANCELLED_AFTER_START : NEVER_RAN;
            case ACCEPTED, REJECTED, RUNNING -> NEVER_RAN;
        };
    }

    /** Returns the evidence about an attempt that the machine neither has nor remembers. */
    static AttemptEvidence ofMissing(
            long now,
            OutstandingAttempt attempt,
            Idempotency idempotency,
            MachineInventory inventory) {
        boolean sameIncarnation = attempt.incarnation() == inventory.incarnation();
        return sameIncarnation && isCompleteSinceOffer(now, attempt, idempotency, inventory)
                ? NEVER_RAN
                : INDETERMINATE;
    }

    /** Returns whether the inventory is known to be complete since before the offer. */
    private static boolean isCompleteSinceOffer(
            long now,
            OutstandingAttempt attempt,
            Idempotency idempotency,
            MachineInventory inventory) {
        Long completeSince = inventory.completeSinceMicros().get(idempotency);
        if (completeSince == null) {
            return false;
        }
        if (completeSince == MachineInventory.WHOLE_INCARNATION) {
            return true;
        }
        return attempt.offeredAtMicros() > completeSince && attempt.offeredAtMicros() <= now;
    }
}
