package thornferry.decisions.admission;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import thornferry.decisions.admission.AdmissionQueue.Stage;

/**
 * The requests that the placement policy holds. The number of those without an attempt in flight is
 * bounded; further requests wait in the queue.
 */
final class DispatchWindow {
    private final Supplier<AdmissionSettings> settings;

    /** Requests without an attempt in flight by request id, in order of dispatch. */
    private final Map<String, QueueEntry> dispatched = new LinkedHashMap<>();

    /** The subset of {@link #dispatched} that was dispatched because its backoff ended. */
    private final Set<QueueEntry> rechecks = new HashSet<>();

    private int offeredCount;

    DispatchWindow(Supplier<AdmissionSettings> settings) {
        this.settings = settings;
    }

    boolean isFull() {
        return dispatched.size() >= settings.get().maxDispatched();
    }

    /** Returns whether rechecks take up at least half of the window, which is their maximum. */
    boolean isRecheckLimitReached() {
        return 2 * rechecks.size() >= settings.get().maxDispatched();
    }

    void add(long nowMicros, QueueEntry entry) {
        entry.markDispatched(nowMicros);
        dispatched.put(entry.requestId(), entry);
    }

    /** Marks an entry that is about to be dispatched as a recheck. */
    void markRecheck(QueueEntry entry) {
        rechecks.add(entry);
    }

    void remove(QueueEntry entry) {
        dispatched.remove(entry.requestId());
        rechecks.remove(entry);
    }

    /** Records the start of an attempt of a dispatched request. */
    void attemptStarted(QueueEntry entry) {
        remove(entry);
        entry.moveTo(Stage.OFFERED);
        offeredCount++;
    }

    /** Records the end of an attempt, after which the policy holds the request again. */
    void attemptEnded(long nowMicros, QueueEntry entry) {
        offeredCount--;
        add(nowMicros, entry);
    }

    /** Removes a request with an attempt in flight. */
    void removeOffered() {
        offeredCount--;
    }

    /** Returns a copy of the dispatched entries in order of dispatch. */
    List<QueueEntry> entries() {
        return new ArrayList<>(dispatched.values());
    }

    /** Returns whether the policy has held a request for so long that it may be recalled. */
    boolean isStalled(long nowMicros, QueueEntry entry) {
        return nowMicros - entry.dispatchedAtMicros() >= settings.get().recallAfterMicros();
    }

    int dispatchedCount() {
        return dispatched.size();
    }

    int offeredCount() {
        return offeredCount;
    }
}
