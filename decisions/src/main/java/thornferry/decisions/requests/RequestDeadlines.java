package thornferry.decisions.requests;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The times at which dispatched requests must have their results. Without these deadlines, an owner
 * would get no result if the placement policy failed to give one.
 */
final class RequestDeadlines {
    private record Deadline(long atMicros, RequestEntry entry, String requestId) {}

    private final PriorityQueue<Deadline> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Deadline::atMicros));

    /** Adds the time by which the current request of the entry must be completed. */
    void add(RequestEntry entry, long atMicros) {
        deadlines.add(new Deadline(atMicros, entry, entry.requestId()));
    }

    /** Removes and returns the next request that has missed its deadline, or null for none. */
    RequestEntry pollMissed(long now) {
        while (!deadlines.isEmpty() && deadlines.peek().atMicros() <= now) {
            Deadline deadline = deadlines.poll();
            RequestEntry entry = deadline.entry();
            if (entry.state() == RequestState.DISPATCHED
                    && deadline.requestId().equals(entry.requestId())) {
                return entry;
            }
        }
        return null;
    }
}
