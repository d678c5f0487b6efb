package thornferry.decisions.admission;

import java.util.LinkedHashMap;

/**
 * How soon a login may be tried again from an address where it failed. Only that address with that
 * login waits: the rightful owner elsewhere, and others at the same address, notice nothing. Times
 * are microseconds.
 */
public final class LoginRateLimiter {
    /**
     * @param freeFailures failures that cost nothing
     * @param firstDelayMicros the wait after the next; doubles with each further one
     * @param maxDelayMicros the longest wait
     * @param forgetAfterMicros after so long without a try the failures are forgotten
     * @param maxTracked pairs of address and login remembered; beyond, those tried longest ago are
     *     forgotten
     */
    public record Settings(
            int freeFailures,
            long firstDelayMicros,
            long maxDelayMicros,
            long forgetAfterMicros,
            int maxTracked) {
        public static final Settings DEFAULTS =
                new Settings(3, 200_000, 10_000_000, 600_000_000, 20_000);

        public Settings {
            if (freeFailures < 0
                    || firstDelayMicros <= 0
                    || maxDelayMicros < firstDelayMicros
                    || forgetAfterMicros <= 0
                    || maxTracked < 1) {
                throw new IllegalArgumentException("the throttle's settings are out of range");
            }
        }
    }

    private static final class Tries {
        int failures;
        int pending;
        long last;
    }

    /**
     * Tries of one pair that may wait at once; more are refused unseen, or one guesser could hold
     * many connections.
     */
    private static final int MOST_PENDING = 2;

    private static final long NEVER = -1;

    private final Settings settings;
    private final LinkedHashMap<String, Tries> pairs =
            new LinkedHashMap<>(); // tried longest ago first

    public LoginRateLimiter(Settings settings) {
        this.settings = settings;
    }

    private static String pair(String address, String login) {
        return address.length() + ":" + address + login;
    }

    /**
     * A try comes in.
     *
     * @return when it may be looked at, or -1 where it is to be refused unseen
     */
    public long attemptStarted(long now, String address, String login) {
        String pair = pair(address, login);
        Tries t = pairs.remove(pair);
        if (t == null || t.pending == 0 && now - t.last > settings.forgetAfterMicros()) {
            t = new Tries();
        }
        pairs.put(pair, t);
        while (pairs.size() > settings.maxTracked()) {
            pairs.remove(pairs.keySet().iterator().next());
        }
        boolean slowed = t.failures > settings.freeFailures();
        if (slowed && t.pending >= MOST_PENDING) {
            return NEVER;
        }
        t.pending++;
        t.last = now;
        if (!slowed) {
            return now;
        }
        long wait =
                settings.firstDelayMicros()
                        << Math.min(30, t.failures - settings.freeFailures() - 1);
        return now + Math.min(settings.maxDelayMicros(), wait);
    }

    /** The try has been looked at. A good one makes up for all failures. */
    public void attemptEnded(long now, String address, String login, boolean good) {
        Tries t = pairs.get(pair(address, login));
        if (t != null) {
            t.pending = Math.max(0, t.pending - 1);
            t.failures = good ? 0 : t.failures + 1;
            t.last = now;
        }
    }

    /** The try was never looked at, for want of time. */
    public void abandoned(String address, String login) {
        Tries t = pairs.get(pair(address, login));
        if (t != null) {
            t.pending = Math.max(0, t.pending - 1);
        }
    }

    int known() {
        return pairs.size();
    }
}
