package thornferry.decisions.recovery;

import java.util.List;
import java.util.Map;
import java.util.Set;
import thornferry.decisions.placement.Placement.Idempotency;

/**
 * What a machine says when it registers: what it holds, what it remembers, and since when it
 * remembers all that it accepted of an effect, {@link #WHOLE_INCARNATION} where it forgot nothing
 * in this life; absent where it does not say.
 */
public record MachineInventory(
        String machine,
        long incarnation,
        Set<String> heldAttempts,
        List<RetainedAttempt> retainedAttempts,
        Map<Idempotency, Long> completeSinceMicros) {
    public static final long WHOLE_INCARNATION = Long.MIN_VALUE;
}
