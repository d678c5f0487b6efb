package thornferry.decisions.recovery;

import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.Placement.Idempotency;

/**
 * What a machine reports about attempts when it registers.
 *
 * @param heldAttempts the attempts that it has: admitted, and not ended
 * @param retainedAttempts the ended attempts that it remembers
 * @param completeSinceMicros by idempotency: since when it remembers all attempts that it accepted,
 *     in microseconds since 1970, or {@link #WHOLE_INCARNATION}; absent where it does not report it
 */
public record MachineInventory(
        String machine,
        long incarnation,
        Set<String> heldAttempts,
        List<RetainedAttempt> retainedAttempts,
        Map<Idempotency, Long> completeSinceMicros) {
    /** The machine has forgotten nothing in this incarnation. */
    public static final long WHOLE_INCARNATION = Long.MIN_VALUE;
}
