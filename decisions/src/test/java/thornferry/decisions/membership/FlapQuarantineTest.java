package thornferry.decisions.membership;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FlapQuarantineTest {
    private static final long SECOND = 1_000_000;
    private static final long FLAP_WINDOW_MICROS = 30 * SECOND;
    private static final long FIRST_QUARANTINE_MICROS = 5 * SECOND;
    private static final int MAX_FLAPS = 2;

    private final FlapQuarantine quarantine =
            new FlapQuarantine(
                    new Membership.Limits(
                            10 * SECOND,
                            MAX_FLAPS,
                            FLAP_WINDOW_MICROS,
                            FIRST_QUARANTINE_MICROS,
                            3));
    private long nowMicros = 1_000 * SECOND;

    private void loseConnections(int count) {
        for (int i = 0; i < count; i++) {
            quarantine.connectionLost(nowMicros);
        }
    }

    @Test
    void toleratesLostConnectionsUpToLimit() {
        loseConnections(MAX_FLAPS);
        assertThat(quarantine.isActive(nowMicros)).isFalse();
    }

    @Test
    void ignoresConnectionsLostBeforeWindow() {
        loseConnections(MAX_FLAPS);
        nowMicros += FLAP_WINDOW_MICROS;
        loseConnections(MAX_FLAPS);
        assertThat(quarantine.isActive(nowMicros)).isFalse();
    }

    @Test
    void endsQuarantineAfterItsDuration() {
        loseConnections(MAX_FLAPS + 1);
        assertThat(quarantine.remainingMicros(nowMicros)).isEqualTo(FIRST_QUARANTINE_MICROS);
        assertThat(quarantine.isActive(nowMicros + FIRST_QUARANTINE_MICROS - 1)).isTrue();
        assertThat(quarantine.isActive(nowMicros + FIRST_QUARANTINE_MICROS)).isFalse();
    }

    @Test
    void doublesDurationUpToSixteenTimesFirst() {
        long expectedMicros = FIRST_QUARANTINE_MICROS;
        for (int round = 0; round < 7; round++) {
            loseConnections(MAX_FLAPS + 1);
            assertThat(quarantine.remainingMicros(nowMicros)).isEqualTo(expectedMicros);
            nowMicros += expectedMicros;
            expectedMicros = Math.min(16 * FIRST_QUARANTINE_MICROS, 2 * expectedMicros);
        }
    }

    @Test
    void returnsToFirstDurationAfterStableWindow() {
        loseConnections(MAX_FLAPS + 1);
        loseConnections(MAX_FLAPS + 1);
        assertThat(quarantine.remainingMicros(nowMicros)).isEqualTo(2 * FIRST_QUARANTINE_MICROS);
        nowMicros += 2 * FIRST_QUARANTINE_MICROS + FLAP_WINDOW_MICROS + 1;
        loseConnections(MAX_FLAPS + 1);
        assertThat(quarantine.remainingMicros(nowMicros)).isEqualTo(FIRST_QUARANTINE_MICROS);
    }
}
