package thornferry.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class LivenessTest {
    private static final long MS = 1_000;

    private long now = 1_000_000;
    private final Liveness liveness = new Liveness(1_000 * MS, 1_000 * MS, now);

    /** Looks as often as asked; true if the peer was ever found silent. */
    private boolean silentWithin(long time) {
        boolean silent = false;
        for (long end = now + time; now < end; ) {
            now += liveness.checkIntervalMicros();
            silent |= liveness.isSilent(now);
        }
        return silent;
    }

    @Test
    void isSilentOnlyBeyondIntervalAndMargin() {
        assertThat(silentWithin(1_500 * MS)).isFalse();
        liveness.received(now);
        assertThat(silentWithin(2_000 * MS)).isFalse();
        assertThat(silentWithin(1_000 * MS)).isTrue();
    }

    @Test
    void ignoresOwnPause() {
        assertThat(silentWithin(1_500 * MS)).isFalse();
        now += 60_000 * MS; // we stood still; the peer's beats wait unread
        assertThat(liveness.isSilent(now)).isFalse();
        liveness.received(now);
        assertThat(silentWithin(1_500 * MS)).isFalse();
    }

    @Test
    void detectsSilentPeerAfterOwnPause() {
        now += 60_000 * MS;
        assertThat(liveness.isSilent(now)).isFalse();
        assertThat(silentWithin(3_000 * MS)).isTrue();
    }

    @Test
    void negotiatesLargerInterval() throws ProtocolException {
        Heartbeat ours = new Heartbeat(2_000, 5_000);
        Heartbeat peer = Heartbeat.parse("1000,3000");
        assertThat(ours.negotiatedSendMillis(peer)).isEqualTo(3_000);
        assertThat(ours.negotiatedReceiveMillis(peer)).isEqualTo(5_000);
        assertThat(ours.negotiatedSendMillis(Heartbeat.parse(null))).isZero();
        assertThat(ours.negotiatedReceiveMillis(Heartbeat.parse("0,9"))).isZero();
        for (String bad : new String[] {"", "1", "1,2,3", "-1,0", "a,b"}) {
            assertThatThrownBy(() -> Heartbeat.parse(bad)).isInstanceOf(ProtocolException.class);
        }
    }
}
