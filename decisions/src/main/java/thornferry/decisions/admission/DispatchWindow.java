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
 * What the placement policy holds. The number of requests that it holds without an attempt in
 * flight is bounded; the rest wait in the queue.
 */
final class DispatchWindow {
    private final Supplier<AdmissionSettings> settings;

    /** By request id, in order of dispatch. */
    private final Map<String, QueueEntry> dispatched = new LinkedHashMap<>();

    /** Of the dispatched: those dispatched because their backoff ended. */
    private final Set<QueueEntry> rechecks = new HashSet<>();

    private int offered;

    DispatchWindow(Supplier<AdmissionSettings> settings) {
        this.settings = settings;
    }

    boolean isFull() {
        return dispatched.size() >= settings.get().maxDispatched();
    }

    /** Whether rechecks take half of the window or more. */
    boolean hasMaxRechecks() {
        return 2 * rechecks.size() >= settings.get().maxDispatched();
    }

    void add(long nowMicros, QueueEntry entry) {
        entry.dispatched(nowMicros);
        dispatched.put(entry.requestId(), entry);
    }

    /** Counts an entry that is about to be dispatched as a recheck. */
    void markRecheck(QueueEntry entry) {
        rechecks.add(entry);
    }

    void remove(QueueEntry entry) {
        dispatched.remove(entry.requestId());
        rechecks.remove(entry);
    }

    /** An attempt of a dispatched request starts. */
    void attemptStarted(QueueEntry entry) {
        remove(entry);
        entry.moveTo(Stage.OFFERED);
        offered++;
    }

    /** An attempt has ended and the policy holds the request again. */
    void attemptEnded(long nowMicros, QueueEntry entry) {
        offered--;
        add(nowMicros, entry);
    }

    /** A request with an attempt in flight leaves. */
    void removeOffered() {
        offered--;
    }

    /** A copy of the dispatched entries in order of dispatch. */
    List<QueueEntry> entries() {
        return new ArrayList<>(dispatched.values());
    }

    /** Whether the policy has held a request for longer than it may while others wait. */
    boolean isStalled(long nowMicros, QueueEntry entry) {
        return nowMicros - entry.dispatchedAtMicros() >= settings.get().recallAfterMicros();
    }

    int dispatchedCount() {
        return dispatched.size();
    }

    int offeredCount() {
        return offered;
    }
}
