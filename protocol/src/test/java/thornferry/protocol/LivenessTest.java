package thornferry.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class LivenessTest {
    private static final long MILLI_MICROS = 1_000;

    private long now = 1_000_000;
    private final Liveness liveness = new Liveness(1_000 * MILLI_MICROS, 1_000 * MILLI_MICROS, now);

    /**
     * Advances the clock, checking at the required interval; returns true if the peer was ever
     * silent.
     */
    private boolean silentWithin(long micros) {
        boolean silent = false;
        for (long end = now + micros; now < end; ) {
            now += liveness.checkIntervalMicros();
            silent |= liveness.isSilent(now);
        }
        return silent;
    }

    @Test
    void isSilentOnlyBeyondIntervalAndMargin() {
        assertThat(silentWithin(1_500 * MILLI_MICROS)).isFalse();
        liveness.received(now);
        assertThat(silentWithin(2_000 * MILLI_MICROS)).isFalse();
        assertThat(silentWithin(1_000 * MILLI_MICROS)).isTrue();
    }

    @Test
    void ownPauseDoesNotCountAsSilenceOfPeer() {
        assertThat(silentWithin(1_500 * MILLI_MICROS)).isFalse();
        now += 60_000 * MILLI_MICROS; // a pause of this process; heartbeats of the peer wait unread
        assertThat(liveness.isSilent(now)).isFalse();
        liveness.received(now);
        assertThat(silentWithin(1_500 * MILLI_MICROS)).isFalse();
    }

    @Test
    void detectsSilentPeerAfterOwnPause() {
        now += 60_000 * MILLI_MICROS;
        assertThat(liveness.isSilent(now)).isFalse();
        assertThat(silentWithin(3_000 * MILLI_MICROS)).isTrue();
    }

    @Test
    void negotiatesLargerInterval() throws ProtocolException {
        Heartbeat own = new Heartbeat(2_000, 5_000);
        Heartbeat peer = Heartbeat.parse("1000,3000");
        assertThat(own.negotiatedSendMillis(peer)).isEqualTo(3_000);
        assertThat(own.negotiatedReceiveMillis(peer)).isEqualTo(5_000);
        assertThat(own.negotiatedSendMillis(Heartbeat.parse(null))).isZero();
        assertThat(own.negotiatedReceiveMillis(Heartbeat.parse("0,9"))).isZero();
        for (String malformed : new String[] {"", "1", "1,2,3", "-1,0", "a,b"}) {
            assertThatThrownBy(() -> Heartbeat.parse(malformed))
                    .isInstanceOf(ProtocolException.class);
        }
    }
}
