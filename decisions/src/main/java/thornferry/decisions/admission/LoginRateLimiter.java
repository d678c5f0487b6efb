package thornferry.decisions.admission;

import static thornferry.decisions.admission.SettingOutOfRangeException.requireAtLeast;

import java.util.LinkedHashMap;

/**
 * Slows down password guessing: after failed logins, further attempts with the same login from the
 * same address are delayed. The legitimate owner at another address, and other logins at the same
 * address, are not affected.
 *
 * <p>Not safe for use by several threads. Times are microseconds of the caller's monotonic clock.
 */
public final class LoginRateLimiter {
    /**
     * Settings of the limiter.
     *
     * @param freeFailures failures that cause no delay
     * @param firstDelayMicros delay after the next failure; doubles with each further one
     * @param maxDelayMicros maximum delay
     * @param forgetAfterMicros failures are discarded after this time without an attempt
     * @param maxTracked maximum number of pairs of address and login tracked; beyond, the least
     *     recently used are discarded
     */
    public record Settings(
            int freeFailures,
            long firstDelayMicros,
            long maxDelayMicros,
            long forgetAfterMicros,
            int maxTracked) {
        /** 3 free failures, delays from 0.2 s to 10 s, discarded after 10 minutes. */
        public static final Settings DEFAULTS =
                new Settings(3, 200_000, 10_000_000, 600_000_000, 20_000);

        /** Checks the range of each setting. */
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
     * Delayed attempts of one pair that may be pending at a time. Without this limit a single
     * guesser could occupy many connections.
     */
    private static final int MAX_PENDING_ATTEMPTS = 2;

    /** Limits the doubling so that the delay does not overflow. */
    private static final int MAX_DELAY_DOUBLINGS = 30;

    /** Result of {@link #attemptStarted} for an attempt to be rejected unchecked. */
    private static final long REJECTED = -1;

    private final Settings settings;

    /** By pair of address and login, least recently used first. */
    private final LinkedHashMap<String, LoginHistory> histories = new LinkedHashMap<>();

    /** Creates a limiter without history. */
    public LoginRateLimiter(Settings settings) {
        this.settings = settings;
    }

    private static String key(String address, String login) {
        return address.length() + ":" + address + login;
    }

    /**
     * A login attempt arrives.
     *
     * @return when its passcode may be checked, in microseconds; -1 if the attempt is to be
     *     rejected unchecked
     */
    public long attemptStarted(long nowMicros, String address, String login) {
        LoginHistory history = touchHistory(nowMicros, key(address, login));
        boolean delayed = history.failures > settings.freeFailures();
        if (delayed && history.pendingAttempts >= MAX_PENDING_ATTEMPTS) {
            return REJECTED;
        }
        history.pendingAttempts++;
        history.lastAttemptMicros = nowMicros;
        return delayed ? nowMicros + delayMicros(history) : nowMicros;
    }

    /** The history of a pair, new if unknown or outdated, as the most recently used one. */
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
     * A passcode has been checked. A successful login discards all failures.
     *
     * @param good whether the passcode was right
     */
    public void attemptEnded(long nowMicros, String address, String login, boolean good) {
        LoginHistory history = histories.get(key(address, login));
        if (history != null) {
            history.pendingAttempts = Math.max(0, history.pendingAttempts - 1);
            history.failures = good ? 0 : history.failures + 1;
            history.lastAttemptMicros = nowMicros;
        }
    }

    /** An attempt ended without its passcode having been checked. */
    public void abandoned(String address, String login) {
        LoginHistory history = histories.get(key(address, login));
        if (history != null) {
            history.pendingAttempts = Math.max(0, history.pendingAttempts - 1);
        }
    }

    int trackedCount() {
        return histories.size();
    }
}
