package thornferry.decisions.requests;

import java.util.ArrayList;
import java.util.List;

/**
 * The time after the start of the placer in which requests for non-idempotent tasks wait, because a
 * task may be running already and its machine has not reported it yet; and all requests that wait
 * before they are dispatched, for this or for proof.
 */
final class StartupSettling {
    /**
     * After such a gap between two calls the process was not running, and no machine could have
     * reported meanwhile.
     */
    private static final long MAX_TICK_GAP_MICROS = 200_000;

    private final List<RequestEntry> waiting = new ArrayList<>();
    private long endsAtMicros;
    private long lastObservedMicros;

    StartupSettling(long now, long durationMicros) {
        this.endsAtMicros = now + durationMicros;
        this.lastObservedMicros = now;
    }

    /**
     * To be called with each event. Prolongs the time by gaps; without this, a start so slow that
     * the time is over before any machine could connect would not wait for any.
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
        waiting.add(entry);
    }

    void remove(RequestEntry entry) {
        waiting.remove(entry);
    }

    /** A copy: entries may be removed while a caller iterates over it. */
    List<RequestEntry> waiting() {
        return waiting.isEmpty() ? List.of() : new ArrayList<>(waiting);
    }
}
