package thornferry.testbed.scenario;

import java.util.Optional;
import java.util.SplittableRandom;

/**
 * A fault of a scenario: what goes wrong, when, how often and for how long.
 *
 * @param startSeconds when it is injected first, after the start of the traffic
 * @param kind what it does
 * @param fraction of the nodes, clients, connections or tasks that it affects
 * @param durationMillis how long it lasts; the shortest duration if that is drawn
 * @param maxDurationMillis the longest duration of a kill, which is drawn for each repetition
 * @param intervalMillis time from one repetition to the next
 * @param zone to whose nodes it is limited; empty for the nodes of all zones
 * @param taskClass the class that {@link FaultKind#CLASS_MUTE} affects
 * @param factor a parameter of some kinds, see there
 * @param repetitions how often it is injected
 */
public record Fault(
        double startSeconds,
        FaultKind kind,
        double fraction,
        long durationMillis,
        long maxDurationMillis,
        long intervalMillis,
        Optional<String> zone,
        Optional<String> taskClass,
        double factor,
        int repetitions) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** When a repetition is injected, after the start of the traffic; the first one is 0. */
    long delayMillis(int repetition) {
        return (long) (MILLIS_PER_SECOND * startSeconds + repetition * intervalMillis);
    }

    /** Draws a duration between the shortest and the longest. */
    long drawDurationMillis(SplittableRandom random) {
        return durationMillis + random.nextLong(maxDurationMillis - durationMillis + 1);
    }

    /** Whether the fault may affect nodes of a zone. */
    boolean affectsZone(String nodeZone) {
        return zone.isEmpty() || zone.get().equals(nodeZone);
    }
}
