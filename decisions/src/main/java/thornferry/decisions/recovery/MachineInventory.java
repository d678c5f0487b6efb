package thornferry.decisions.recovery;

import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.Placement.Idempotency;

/**
 * The attempts that a machine reports when it registers.
 *
 * @param heldAttempts the attempts that the machine has: admitted and not ended
 * @param retainedAttempts the ended attempts that the machine remembers
 * @param completeSinceMicros by idempotency, the time since which the machine remembers all
 *     attempts that it accepted, in microseconds since 1970, or {@link #WHOLE_INCARNATION}; absent
 *     if the machine does not report it
 */
public record MachineInventory(
        String machine,
        long incarnation,
        Set<String> heldAttempts,
        List<RetainedAttempt> retainedAttempts,
        Map<Idempotency, Long> completeSinceMicros) {
    /** The machine remembers all attempts that it accepted in this incarnation. */
    public static final long WHOLE_INCARNATION = Long.MIN_VALUE;
}
