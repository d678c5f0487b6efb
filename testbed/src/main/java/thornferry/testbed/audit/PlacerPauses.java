package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.Map;

/** Until when placers' processes were stopped by the scenario; meanwhile they cannot answer. */
final class PlacerPauses {
    private final Map<String, Long> untilMicros = new HashMap<>();

    void pause(String placer, long micros) {
        untilMicros.put(placer, micros);
    }

    /** The given time, or the end of the placer's pause if that is later. */
    long afterPause(String placer, long micros) {
        return Math.max(micros, untilMicros.getOrDefault(placer, 0L));
    }
}
