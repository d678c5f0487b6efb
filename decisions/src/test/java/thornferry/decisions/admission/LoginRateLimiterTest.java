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

    private void endAttempt(String address, String login, boolean passcodeValid) {
        limiter.attemptEnded(nowMicros, address, login, passcodeValid);
    }

    /** Makes failed attempts, each as early as the limiter allows. */
    private void failAttempts(String address, String login, int attempts) {
        for (int i = 0; i < attempts; i++) {
            nowMicros = Math.max(nowMicros, startAttempt(address, login));
            endAttempt(address, login, false);
        }
    }

    @Test
    void delaysOnlySameLoginFromSameAddress() {
        failAttempts("10.0.0.1", "depot1", 20);
        assertThat(startAttempt("10.0.0.1", "depot1")).isEqualTo(nowMicros + 10 * SECOND);
        assertThat(startAttempt("10.0.0.2", "depot1"))
                .as("same login from another address")
                .isEqualTo(nowMicros);
        assertThat(startAttempt("10.0.0.1", "depot2"))
                .as("another login from the same address")
                .isEqualTo(nowMicros);
    }

    @Test
    void doublesDelaySoThatThirtyFailuresTakeMinutes() {
        long startMicros = nowMicros;
        failAttempts("a", "l", 30);
        assertThat(nowMicros - startMicros).isGreaterThan(120 * SECOND);
    }

    @Test
    void doesNotDelayFreeFailuresAndDiscardsThemAfterSuccess() {
        long startMicros = nowMicros;
        failAttempts("a", "l", 3);
        assertThat(startAttempt("a", "l")).isEqualTo(startMicros);
        endAttempt("a", "l", false);
        endAttempt("a", "l", false);
        assertThat(startAttempt("a", "l")).isGreaterThan(nowMicros);
        endAttempt("a", "l", true);
        assertThat(startAttempt("a", "l")).isEqualTo(nowMicros);
    }

    @Test
    void rejectsConcurrentAttemptsOfDelayedLogin() {
        failAttempts("a", "l", 5);
        assertThat(startAttempt("a", "l")).isPositive();
        assertThat(startAttempt("a", "l")).isPositive();
        assertThat(startAttempt("a", "l")).isEqualTo(-1);
    }

    @Test
    void boundsTrackedLoginsAndDiscardsOldFailures() {
        failAttempts("a", "l", 10);
        nowMicros += 601 * SECOND;
        assertThat(startAttempt("a", "l")).isEqualTo(nowMicros);
        for (int i = 0; i < 1_000; i++) {
            failAttempts("a", "l" + i, 1);
        }
        assertThat(limiter.trackedCount()).isEqualTo(MAX_TRACKED);
    }
}
