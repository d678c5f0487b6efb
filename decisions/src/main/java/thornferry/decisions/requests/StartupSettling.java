package thornferry.decisions.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * The settling time after the start of the placer, and the deferred requests. During the settling
 * time, requests for non-idempotent tasks wait, because such a task may be running on a machine
 * that has not reported it yet. Deferred requests wait for the end of this time, or for proof
 * whether their task ran.
 */
final class StartupSettling {
    /**
     * The maximum time between two calls of {@link #observe} of a running process. During a longer
     * gap the process was not running, so that no machine could report to it.
     */
    private static final long MAX_TICK_GAP_MICROS = 200_000;

    private final List<RequestEntry> deferred = new ArrayList<>();
    private long endsAtMicros;
    private long lastObservedMicros;

    StartupSettling(long now, long durationMicros) {
        this.endsAtMicros = now + durationMicros;
        this.lastObservedMicros = now;
    }

    /**
     * Prolongs the settling time by a gap since the last call; to be called with each event.
     * Otherwise the settling time could end during a slow start, before any machine could connect.
     */
    void observe(long now) {
        long gapMicros = now - lastObservedMicros;
        if (lastObservedMicros < endsAtMicros && gapMicros > MAX_TICK_GAP_MICROS) {
            endsAtMicros += gapMicros;
        }
        lastObservedMicros = now;
    }

    boolean isOver(long now) {
        return now >= endsAtMicros;
    }

    void add(RequestEntry entry) {
        deferred.add(entry);
    }

    void remove(RequestEntry entry) {
        deferred.remove(entry);
    }

    /** Returns a copy, as entries may be removed while a caller iterates over it. */
    List<RequestEntry> deferredRequests() {
        return deferred.isEmpty() ? List.of() : new ArrayList<>(deferred);
    }
}
