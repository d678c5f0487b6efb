package thornferry.decisions.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LoginRateLimiterTest {
    private static final long SECOND = 1_000_000;

    private final LoginRateLimiter throttle =
            new LoginRateLimiter(
                    new LoginRateLimiter.Settings(3, SECOND / 5, 10 * SECOND, 600 * SECOND, 100));
    private long now = 1_000 * SECOND;

    private void fail(String address, String login, int times) {
        for (int i = 0; i < times; i++) {
            now = Math.max(now, throttle.attemptStarted(now, address, login));
            throttle.attemptEnded(now, address, login, false);
        }
    }

    @Test
    void onlyTheGuiltyAddressWithTheGuiltyLoginWaits() {
        fail("10.0.0.1", "depot1", 20);
        assertThat(throttle.attemptStarted(now, "10.0.0.1", "depot1")).isEqualTo(now + 10 * SECOND);
        assertThat(throttle.attemptStarted(now, "10.0.0.2", "depot1"))
                .as("the owner elsewhere")
                .isEqualTo(now);
        assertThat(throttle.attemptStarted(now, "10.0.0.1", "depot2"))
                .as("another at the same address")
                .isEqualTo(now);
    }

    @Test
    void waitsDoubleAndTwentyGuessesTakeMinutes() {
        long begin = now;
        fail("a", "l", 30);
        assertThat(now - begin).isGreaterThan(120 * SECOND);
    }

    @Test
    void aFewMistakesCostNothingAndAGoodTryMakesUpForAll() {
        long begin = now;
        fail("a", "l", 3);
        assertThat(throttle.attemptStarted(now, "a", "l")).isEqualTo(begin);
        throttle.attemptEnded(now, "a", "l", false);
        throttle.attemptEnded(now, "a", "l", false);
        assertThat(throttle.attemptStarted(now, "a", "l")).isGreaterThan(now);
        throttle.attemptEnded(now, "a", "l", true);
        assertThat(throttle.attemptStarted(now, "a", "l")).isEqualTo(now);
    }

    @Test
    void manyTriesAtOnceAreRefusedUnseenOnceThePairIsSlowed() {
        fail("a", "l", 5);
        assertThat(throttle.attemptStarted(now, "a", "l")).isPositive();
        assertThat(throttle.attemptStarted(now, "a", "l")).isPositive();
        assertThat(throttle.attemptStarted(now, "a", "l")).isEqualTo(-1);
    }

    @Test
    void remembersABoundedNumberAndForgetsInTime() {
        fail("a", "l", 10);
        now += 601 * SECOND;
        assertThat(throttle.attemptStarted(now, "a", "l")).isEqualTo(now);
        for (int i = 0; i < 1_000; i++) {
            fail("a", "l" + i, 1);
        }
        assertThat(throttle.trackedCount()).isEqualTo(100);
    }
}
