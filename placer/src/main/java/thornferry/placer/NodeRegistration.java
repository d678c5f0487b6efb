package thornferry.placer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import thornferry.decisions.membership.Membership;
import thornferry.decisions.placement.Placement;
import thornferry.decisions.recovery.MachineInventory;
import thornferry.decisions.recovery.RetainedAttempt;

/**
 * The registration of a node on a connection, with its inventory.
 *
 * @param connection the number of the connection
 * @param machine the part of the registration that {@link Membership} processes
 * @param heldAttempts the accepted and unfinished attempts
 * @param recentReports the latest reports of the end of an attempt, which may have been lost with
 *     an earlier connection
 * @param retainedAttempts the finished attempts of tasks that must not run twice
 * @param completeSinceMicros see {@link MachineInventory}
 */
record NodeRegistration(
        long connection,
        Membership.Registration machine,
        List<HeldAttempt> heldAttempts,
        List<AttemptReport> recentReports,
        List<RetainedAttempt> retainedAttempts,
        Map<Placement.Idempotency, Long> completeSinceMicros) {

    /** Returns the held attempts by id; if an id is listed twice, the later entry is used. */
    Map<String, HeldAttempt> heldAttemptsById() {
        Map<String, HeldAttempt> byId = new HashMap<>();
        heldAttempts.forEach(held -> byId.put(held.attempt(), held));
        return byId;
    }

    /** Returns the ids of the held attempts whose task has started. */
    Set<String> runningAttempts() {
        return heldAttemptsById().values().stream()
                .filter(HeldAttempt::running)
                .map(HeldAttempt::attempt)
                .collect(Collectors.toSet());
    }
}
