package thornferry.testbed.audit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The attempts by their ids. */
final class TracedAttempts {
    private final Map<String, TracedAttempt> everOffered = new HashMap<>();
    private final Map<String, TracedAttempt> knownToPlacer = new HashMap<>();

    void add(TracedAttempt attempt) {
        everOffered.put(attempt.id(), attempt);
        knownToPlacer.put(attempt.id(), attempt);
    }

    /** An attempt that a placer which still runs has offered. */
    Optional<TracedAttempt> findKnown(String id) {
        return Optional.ofNullable(knownToPlacer.get(id));
    }

    /** An attempt that any placer has ever offered, also one that was killed since. */
    Optional<TracedAttempt> findEverOffered(String id) {
        return Optional.ofNullable(everOffered.get(id));
    }

    Collection<TracedAttempt> allKnown() {
        return knownToPlacer.values();
    }

    /** A killed placer forgets its attempts. */
    void forgetPlacer(String placer) {
        knownToPlacer.values().removeIf(attempt -> attempt.task().placer().equals(placer));
    }
}
