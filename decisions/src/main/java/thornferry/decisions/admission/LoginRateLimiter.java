package thornferry.decisions.admission;

import static thornferry.decisions.admission.SettingOutOfRangeException.requireAtLeast;

import java.util.LinkedHashMap;

/**
 * Slows down password guessing. After failed logins, further attempts with the same login from the
 * same address are delayed. Attempts with the same login from another address, and with another
 * login from the same address, are not affected.
 *
 * <p>Instances are not thread-safe. Times are microseconds of the caller's monotonic clock.
 */
public final class LoginRateLimiter {
    /**
     * The settings of the limiter.
     *
     * @param freeFailures number of failures that cause no delay
     * @param firstDelayMicros delay after the first failure beyond {@code freeFailures}; doubles
     *     with each further one
     * @param maxDelayMicros maximum delay
     * @param forgetAfterMicros time without an attempt after which failures are discarded
     * @param maxTracked maximum number of tracked pairs of address and login; beyond it, the least
     *     recently used pairs are discarded
     */
    public record Settings(
            int freeFailures,
            long firstDelayMicros,
            long maxDelayMicros,
            long forgetAfterMicros,
            int maxTracked) {
        /**
         * The default settings: 3 failures without delay, delays from 0.2 s to 10 s, failures
         * discarded after 10 minutes.
         */
        public static final Settings DEFAULTS =
                new Settings(3, 200_000, 10_000_000, 600_000_000, 20_000);

        /**
         * Checks the range of each setting.
         *
         * @throws SettingOutOfRangeException if a setting is outside its range
         */
        public Settings {
            requireAtLeast("freeFailures", freeFailures, 0);
            requireAtLeast("firstDelayMicros", firstDelayMicros, 1);
            requireAtLeast("maxDelayMicros", maxDelayMicros, firstDelayMicros);
            requireAtLeast("forgetAfterMicros", forgetAfterMicros, 1);
            requireAtLeast("maxTracked", maxTracked, 1);
        }
    }

    private static final class LoginHistory {
        private int failures;
        private int pendingAttempts;
        private long lastAttemptMicros;
    }

    /**
     * Maximum number of attempts of a delayed pair that may be pending at a time. Without this
     * limit a single attacker could occupy many connections.
     */
    private static final int MAX_PENDING_ATTEMPTS = 2;

    /** Maximum number of doublings of the delay, so that it does not overflow. */
    private static final int MAX_DELAY_DOUBLINGS = 30;

    /**
     * Result of {@link #attemptStarted} for an attempt that is rejected without a check of its
     * passcode.
     */
    private static final long REJECTED = -1;

    private final Settings settings;

    /** Histories by {@link #key} of address and login, least recently used first. */
    private final LinkedHashMap<String, LoginHistory> histories = new LinkedHashMap<>();

    /** Creates a limiter without history. */
    public LoginRateLimiter(Settings settings) {
        this.settings = settings;
    }

    private static String key(String address, String login) {
        return address.length() + ":" + address + login;
    }

    /**
     * Records the start of a login attempt.
     *
     * @return the time at which the passcode may be checked, in microseconds; -1 if the attempt is
     *     to be rejected without a check
     */
    public long attemptStarted(long nowMicros, String address, String login) {
        LoginHistory history = touchHistory(nowMicros, key(address, login));
        boolean isDelayed = history.failures > settings.freeFailures();
        if (isDelayed && history.pendingAttempts >= MAX_PENDING_ATTEMPTS) {
            return REJECTED;
        }
        history.pendingAttempts++;
        history.lastAttemptMicros = nowMicros;
        return isDelayed ? nowMicros + delayMicros(history) : nowMicros;
    }

    /**
     * Returns the history of a pair and marks it as the most recently used; creates it if absent or
     * outdated.
     */
    private LoginHistory touchHistory(long nowMicros, String key) {
        LoginHistory history = histories.remove(key);
        if (history == null || isOutdated(nowMicros, history)) {
            history = new LoginHistory();
        }
        histories.put(key, history);
        while (histories.size() > settings.maxTracked()) {
            histories.remove(histories.keySet().iterator().next());
        }
        return history;
    }

    private boolean isOutdated(long nowMicros, LoginHistory history) {
        return history.pendingAttempts == 0
                && nowMicros - history.lastAttemptMicros > settings.forgetAfterMicros();
    }

    private long delayMicros(LoginHistory history) {
        int doublings = history.failures - settings.freeFailures() - 1;
        long delayMicros = settings.firstDelayMicros() << Math.min(MAX_DELAY_DOUBLINGS, doublings);
        return Math.min(settings.maxDelayMicros(), delayMicros);
    }

    /**
     * Records the result of a passcode check. A successful login discards all failures.
     *
     * @param passcodeValid whether the passcode was right
     */
    public void attemptEnded(long nowMicros, String address, String login, boolean passcodeValid) {
        LoginHistory history = histories.get(key(address, login));
        if (history != null) {
            history.pendingAttempts = Math.max(0, history.pendingAttempts - 1);
            history.failures = passcodeValid ? 0 : history.failures + 1;
            history.lastAttemptMicros = nowMicros;
        }
    }

    /** Records the end of an attempt whose passcode was not checked. */
    public void attemptAbandoned(String address, String login) {
        LoginHistory history = histories.get(key(address, login));
        if (history != null) {
            history.pendingAttempts = Math.max(0, history.pendingAttempts - 1);
        }
    }

    int trackedCount() {
        return histories.size();
    }
}
