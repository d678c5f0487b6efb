package thornferry.decisions.membership;

import java.util.ArrayList;
import java.util.List;

/**
 * Quarantines a machine whose connection is lost too often.
 *
 * <p>Without this, a machine with an unstable connection would receive offers after each reconnect,
 * and those would be left without an answer when the connection breaks again. The first quarantine
 * lasts {@link Membership.Limits#quarantineMicros}; each further one doubles, up to {@link
 * #MAX_GROWTH_FACTOR} times that, until the machine has been stable for a whole flap window after
 * the end of the last quarantine.
 */
final class FlapQuarantine {
    /** Longest quarantine, as a multiple of the first. */
    private static final int MAX_GROWTH_FACTOR = 16;

    private final Membership.Limits limits;
    private final List<Long> disconnectTimesMicros = new ArrayList<>();
    private long quarantinedUntilMicros = Long.MIN_VALUE;
    private long durationMicros;

    FlapQuarantine(Membership.Limits limits) {
        this.limits = limits;
    }

    /** Records a lost connection; begins a quarantine if that is one too many. */
    void connectionLost(long nowMicros) {
        disconnectTimesMicros.add(nowMicros);
        disconnectTimesMicros.removeIf(time -> time <= nowMicros - limits.flapWindowMicros());
        if (disconnectTimesMicros.size() > limits.maxFlaps()) {
            begin(nowMicros);
        }
    }

    private void begin(long nowMicros) {
        boolean stableSinceLast = nowMicros > quarantinedUntilMicros + limits.flapWindowMicros();
        durationMicros =
                stableSinceLast
                        ? limits.quarantineMicros()
                        : Math.min(
                                limits.quarantineMicros() * MAX_GROWTH_FACTOR, durationMicros * 2);
        quarantinedUntilMicros = nowMicros + durationMicros;
        disconnectTimesMicros.clear();
    }

    boolean isActive(long nowMicros) {
        return nowMicros < quarantinedUntilMicros;
    }

    /** Time left; meaningful only while the quarantine is active. */
    long remainingMicros(long nowMicros) {
        return quarantinedUntilMicros - nowMicros;
    }
}
