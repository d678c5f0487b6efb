package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LoginRateLimiterTest {
    private static final long SECOND = 1_000_000;
    private static final int MAX_TRACKED = 100;

    private final LoginRateLimiter limiter =
            new LoginRateLimiter(
                    new LoginRateLimiter.Settings(
                            3, SECOND / 5, 10 * SECOND, 600 * SECOND, MAX_TRACKED));
    private long nowMicros = 1_000 * SECOND;

    private long startAttempt(String address, String login) {
        return limiter.attemptStarted(nowMicros, address, login);
    }

    private void endAttempt(String address, String login, boolean good) {
        limiter.attemptEnded(nowMicros, address, login, good);
    }

    /** Failed attempts, each as soon as it is allowed. */
    private void fail(String address, String login, int attempts) {
        for (int i = 0; i < attempts; i++) {
            nowMicros = Math.max(nowMicros, startAttempt(address, login));
            endAttempt(address, login, false);
        }
    }

    @Test
    void delaysOnlyFailedLoginFromSameAddress() {
        fail("10.0.0.1", "depot1", 20);
        assertThat(startAttempt("10.0.0.1", "depot1")).isEqualTo(nowMicros + 10 * SECOND);
        assertThat(startAttempt("10.0.0.2", "depot1"))
                .as("the owner at another address")
                .isEqualTo(nowMicros);
        assertThat(startAttempt("10.0.0.1", "depot2"))
                .as("another login at the same address")
                .isEqualTo(nowMicros);
    }

    @Test
    void doublesDelaySoThatThirtyGuessesTakeMinutes() {
        long startMicros = nowMicros;
        fail("a", "l", 30);
        assertThat(nowMicros - startMicros).isGreaterThan(120 * SECOND);
    }

    @Test
    void allowsFreeFailuresAndForgetsThemAfterSuccess() {
        long startMicros = nowMicros;
        fail("a", "l", 3);
        assertThat(startAttempt("a", "l")).isEqualTo(startMicros);
        endAttempt("a", "l", false);
        endAttempt("a", "l", false);
        assertThat(startAttempt("a", "l")).isGreaterThan(nowMicros);
        endAttempt("a", "l", true);
        assertThat(startAttempt("a", "l")).isEqualTo(nowMicros);
    }

    @Test
    void rejectsConcurrentAttemptsOfDelayedLogin() {
        fail("a", "l", 5);
        assertThat(startAttempt("a", "l")).isPositive();
        assertThat(startAttempt("a", "l")).isPositive();
        assertThat(startAttempt("a", "l")).isEqualTo(-1);
    }

    @Test
    void boundsTrackedLoginsAndForgetsInTime() {
        fail("a", "l", 10);
        nowMicros += 601 * SECOND;
        assertThat(startAttempt("a", "l")).isEqualTo(nowMicros);
        for (int i = 0; i < 1_000; i++) {
            fail("a", "l" + i, 1);
        }
        assertThat(limiter.trackedCount()).isEqualTo(MAX_TRACKED);
    }
}
