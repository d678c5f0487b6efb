package thornferry.decisions.recovery;

import thornferry.decisions.placement.Placement.Idempotency;

/**
 * What the inventory of a registering machine proves about an attempt that an earlier incarnation
 * of the placer offered to it.
 *
 * <table>
 * <caption>What proves what</caption>
 * <tr><th>the inventory</th><th>evidence</th><th>why</th></tr>
 * <tr><td>has the attempt</td><td>it is placed there</td><td>judged elsewhere: the task is adopted
 *     by {@code AttemptTracker} and {@code RequestTracker}</td></tr>
 * <tr><td>remembers that it completed or was evicted</td><td>{@link #TERMINATED}</td>
 *     <td>the task was placed</td></tr>
 * <tr><td>remembers that it was cancelled after its start</td><td>{@link #CANCELLED_AFTER_START}
 *     </td><td>the task ran, and not to its end</td></tr>
 * <tr><td>remembers that it was rejected, or cancelled before its start (or gives any other
 * status, which an ended attempt does not have)</td><td>{@link #NEVER_RAN}
 *     </td><td>the machine says so</td></tr>
 * <tr><td>is of the same machine incarnation, neither has nor remembers the attempt, and is
 *     complete since before the offer</td><td>{@link #NEVER_RAN}</td><td>the offer never arrived:
 *     a machine registers only after its former connection is closed for it</td></tr>
 * <tr><td>is the same, but complete only since after the offer</td><td>{@link #INDETERMINATE}</td>
 *     <td>the machine may have forgotten the attempt</td></tr>
 * <tr><td>is the same, but the offer seems to lie in the future</td><td>{@link #INDETERMINATE}</td>
 *     <td>the clock was set back since: the times cannot be compared</td></tr>
 * <tr><td>is of another machine incarnation, and does not remember the attempt</td><td>{@link
 *     #INDETERMINATE}</td><td>what ran in an earlier one is not known to it</td></tr>
 * </table>
 *
 * <p>{@code INDETERMINATE} is final: no later inventory can prove more.
 */
enum AttemptEvidence {
    TERMINATED,
    CANCELLED_AFTER_START,
    NEVER_RAN,
    INDETERMINATE;

    /** The evidence of an attempt that the machine remembers. */
    static AttemptEvidence of(RetainedAttempt attempt) {
        return switch (attempt.status()) {
            case COMPLETED, EVICTED, EVACUATED -> TERMINATED;
            case CANCELLED -> attempt.ran() ? CANCELLED_AFTER_START : NEVER_RAN;
            case ACCEPTED, REJECTED, RUNNING -> NEVER_RAN;
        };
    }

    /** The evidence of an attempt that the machine neither has nor remembers. */
    static AttemptEvidence ofMissing(
            long now,
            OutstandingAttempt attempt,
            Idempotency idempotency,
            MachineInventory inventory) {
        boolean sameIncarnation = attempt.incarnation() == inventory.incarnation();
        return sameIncarnation && isComplete(now, attempt, idempotency, inventory)
                ? NEVER_RAN
                : INDETERMINATE;
    }

    /** Whether the inventory is complete since before the offer. */
    private static boolean isComplete(
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
