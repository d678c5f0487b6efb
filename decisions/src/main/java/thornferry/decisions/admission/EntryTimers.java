package thornferry.decisions.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The timers of queue entries. Timers cannot be cancelled; the caller checks whether an expired
 * timer still applies.
 */
final class EntryTimers {
    private record Timer(long expiresAtMicros, QueueEntry entry) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::expiresAtMicros));

    void schedule(long expiresAtMicros, QueueEntry entry) {
        timers.add(new Timer(expiresAtMicros, entry));
    }

    /**
     * Removes the earliest timer that has expired and returns its entry; returns empty if none has
     * expired.
     */
    Optional<QueueEntry> pollExpired(long nowMicros) {
        return timers.isEmpty() || timers.peek().expiresAtMicros() > nowMicros
                ? Optional.empty()
                : Optional.of(timers.poll().entry());
    }
}
