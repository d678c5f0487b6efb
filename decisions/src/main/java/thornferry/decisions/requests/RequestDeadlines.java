package thornferry.decisions.requests;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * When each dispatched request must have its result. Without this, a policy that fails to answer
 * would leave its owner without one.
 */
final class RequestDeadlines {
    private record Deadline(long atMicros, RequestEntry entry, String requestId) {}

    private final PriorityQueue<Deadline> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Deadline::atMicros));

    /** The request that the entry has now must be completed by then. */
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
