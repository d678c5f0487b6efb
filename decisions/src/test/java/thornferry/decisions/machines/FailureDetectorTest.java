package thornferry.decisions.machines;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FailureDetectorTest {
    private static final long MICROS_PER_MILLI = 1_000;
    private final FailureDetector detector = new FailureDetector();

    @Test
    void reportsFailureOnSecondRefusalWithoutOtherConnection() {
        detector.recordContact("a", 0);
        assertThat(detector.recordRefusal("a", 100 * MICROS_PER_MILLI, false)).isFalse();
        assertThat(detector.recordRefusal("a", 350 * MICROS_PER_MILLI, false)).isTrue();
    }

    @Test
    void ignoresRefusalsWhileAnotherConnectionIsOpen() {
        assertThat(detector.recordRefusal("a", 0, false)).isFalse();
        assertThat(detector.recordRefusal("a", 300 * MICROS_PER_MILLI, true)).isFalse();
        assertThat(detector.recordRefusal("a", 400 * MICROS_PER_MILLI, false)).isFalse();
    }

    @Test
    void contactClearsEarlierRefusals() {
        assertThat(detector.recordRefusal("a", 0, false)).isFalse();
        detector.recordContact("a", 100 * MICROS_PER_MILLI);
        assertThat(detector.recordRefusal("a", 300 * MICROS_PER_MILLI, false)).isFalse();
    }

    @Test
    void isNotLostWithoutConnectFailure() {
        detector.assumeContact("a", 0);
        assertThat(detector.isLost("a", 60_000 * MICROS_PER_MILLI)).isFalse();
    }

    @Test
    void assumedContactOfUnknownMachineStartsItsTimeout() {
        detector.recordConnectFailure("a", 1_000 * MICROS_PER_MILLI);
        assertThat(detector.hasContact("a")).as("no contact yet").isFalse();
        detector.assumeContact("a", 9_000 * MICROS_PER_MILLI);
        assertThat(detector.hasContact("a")).isTrue();
        assertThat(detector.isLost("a", 14_900 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isLost("a", 15_000 * MICROS_PER_MILLI)).isTrue();
    }

    @Test
    void isLostSixSecondsAfterLastContactIfConnectionsFail() {
        detector.recordContact("a", 19_000 * MICROS_PER_MILLI);
        detector.recordConnectFailure("a", 20_000 * MICROS_PER_MILLI);
        detector.recordConnectFailure("a", 23_000 * MICROS_PER_MILLI);
        assertThat(detector.isLost("a", 24_900 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isLost("a", 25_000 * MICROS_PER_MILLI)).isTrue();
        detector.recordContact("a", 25_100 * MICROS_PER_MILLI);
        assertThat(detector.isLost("a", 60_000 * MICROS_PER_MILLI)).isFalse();
    }

    @Test
    void isNotLostUntilFirstFailureOrTimedOutRequestIsOneSecondOld() {
        detector.recordContact("a", 0);
        detector.recordConnectFailure("a", 20_000 * MICROS_PER_MILLI);
        assertThat(detector.isLost("a", 20_900 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isLost("a", 21_000 * MICROS_PER_MILLI)).isTrue();
        detector.recordContact("b", 0);
        detector.recordRequestTimeout("b", 6_000 * MICROS_PER_MILLI);
        assertThat(detector.isLost("b", 9_000 * MICROS_PER_MILLI)).isFalse();
        detector.recordConnectFailure("b", 7_500 * MICROS_PER_MILLI);
        assertThat(detector.isLost("b", 7_500 * MICROS_PER_MILLI)).isTrue();
        detector.recordContact("c", 7_000 * MICROS_PER_MILLI);
        // the request was sent before the last contact
        detector.recordRequestTimeout("c", 6_500 * MICROS_PER_MILLI);
        detector.recordConnectFailure("c", 13_000 * MICROS_PER_MILLI);
        assertThat(detector.isLost("c", 13_500 * MICROS_PER_MILLI)).isFalse();
    }

    @Test
    void isSilentAfterOneSecondAndUnreachableAfterTwoSecondsOfConnectFailures() {
        detector.recordContact("a", 0);
        assertThat(detector.isSilent("a", 900 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isSilent("a", 1_000 * MICROS_PER_MILLI)).isTrue();
        assertThat(detector.isUnreachable("a", 9_000 * MICROS_PER_MILLI)).isFalse();
        detector.recordConnectFailure("a", 1_000 * MICROS_PER_MILLI);
        detector.recordConnectFailure("a", 1_500 * MICROS_PER_MILLI);
        assertThat(detector.isUnreachable("a", 2_900 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isUnreachable("a", 3_000 * MICROS_PER_MILLI)).isTrue();
        detector.recordContact("a", 3_100 * MICROS_PER_MILLI);
        assertThat(detector.isUnreachable("a", 9_000 * MICROS_PER_MILLI)).isFalse();
    }

    /** Guards against a vanished machine that counts as alive while connections to it are open. */
    @Test
    void isUnresponsiveAfterRequestAndConnectionAttemptFailed() {
        detector.recordContact("a", 0);
        detector.recordRequestTimeout("a", 1_000 * MICROS_PER_MILLI);
        assertThat(detector.isSuspect("a", 1_999 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isSuspect("a", 2_000 * MICROS_PER_MILLI)).isTrue();
        assertThat(detector.isUnresponsive("a", 60_000 * MICROS_PER_MILLI)).isFalse();
        detector.recordConnectFailure("a", 2_250 * MICROS_PER_MILLI);
        assertThat(detector.isUnresponsive("a", 7_499 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isUnresponsive("a", 7_500 * MICROS_PER_MILLI)).isTrue();
        detector.recordContact("a", 7_600 * MICROS_PER_MILLI);
        assertThat(detector.isSuspect("a", 60_000 * MICROS_PER_MILLI)).isFalse();
        assertThat(detector.isUnresponsive("a", 60_000 * MICROS_PER_MILLI)).isFalse();
    }

    /** Guards against a missed end of a task for which no new connection is opened. */
    @Test
    void missedMessageRequiresConnectionOpenedAfterIt() {
        detector.recordEstablished("a", 0, 100 * MICROS_PER_MILLI);
        assertThat(detector.mayHaveMissedMessage("a")).isFalse();
        detector.recordMissedMessage("a", 500 * MICROS_PER_MILLI);
        detector.recordContact("a", 600 * MICROS_PER_MILLI);
        detector.recordEstablished("a", 400 * MICROS_PER_MILLI, 700 * MICROS_PER_MILLI);
        assertThat(detector.mayHaveMissedMessage("a")).isTrue();
        detector.recordEstablished("a", 500 * MICROS_PER_MILLI, 800 * MICROS_PER_MILLI);
        assertThat(detector.mayHaveMissedMessage("a")).isFalse();
    }
}
