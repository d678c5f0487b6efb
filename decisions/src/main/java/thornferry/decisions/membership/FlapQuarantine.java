package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * The quarantine of a machine whose connection is lost too often.
 *
 * <p>Without the quarantine, a machine with an unstable connection would receive offers after each
 * reconnect, and these would remain unanswered when the connection is lost again. The first
 * quarantine lasts {@link Membership.Limits#quarantineMicros}; each further one lasts twice as long
 * as the one before, up to {@link #MAX_GROWTH_FACTOR} times the first. The length returns to that
 * of the first once the machine has been stable for a whole flap window after the end of the last
 * quarantine.
 */
final class FlapQuarantine {
    /** Length of the longest quarantine, as a multiple of the first. */
    private static final int MAX_GROWTH_FACTOR = 16;

    private final Membership.Limits limits;
    private final List<Long> disconnectTimesMicros = new ArrayList<>();
    private long quarantinedUntilMicros = Long.MIN_VALUE;
    private long durationMicros;

    FlapQuarantine(Membership.Limits limits) {
        this.limits = limits;
    }

    /**
     * Records a lost connection; begins a quarantine if more than {@link
     * Membership.Limits#maxFlaps} were lost within the flap window.
     */
    void connectionLost(long nowMicros) {
        disconnectTimesMicros.add(nowMicros);
        disconnectTimesMicros.removeIf(
                lostAtMicros -> lostAtMicros <= nowMicros - limits.flapWindowMicros());
        if (disconnectTimesMicros.size() > limits.maxFlaps()) {
            begin(nowMicros);
        }
    }

    private void begin(long nowMicros) {
        boolean wasStableSinceLast = nowMicros > quarantinedUntilMicros + limits.flapWindowMicros();
        durationMicros =
                wasStableSinceLast
                        ? limits.quarantineMicros()
                        : Math.min(
                                limits.quarantineMicros() * MAX_GROWTH_FACTOR, durationMicros * 2);
        quarantinedUntilMicros = nowMicros + durationMicros;
        disconnectTimesMicros.clear();
    }

    boolean isActive(long nowMicros) {
        return nowMicros < quarantinedUntilMicros;
    }

    /** Returns the time until the quarantine ends; meaningful only while it is active. */
    long remainingMicros(long nowMicros) {
        return quarantinedUntilMicros - nowMicros;
    }
}
