package thornferry.decisions.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** Timers of entries. They are never cancelled: the receiver checks whether one still applies. */
final class EntryTimers {
    private record Timer(long atMicros, QueueEntry entry) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::atMicros));

    void schedule(long atMicros, QueueEntry entry) {
        timers.add(new Timer(atMicros, entry));
    }

    /** Removes and returns the entry of the earliest timer that has expired. */
    Optional<QueueEntry> pollExpired(long nowMicros) {
        return timers.isEmpty() || timers.peek().atMicros() > nowMicros
                ? Optional.empty()
                : Optional.of(timers.poll().entry());
    }
}
