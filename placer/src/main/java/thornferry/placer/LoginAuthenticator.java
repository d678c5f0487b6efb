package thornferry.placer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import thornferry.decisions.admission.LoginRateLimiter;
import thornferry.security.Passcodes;

/**
 * Checks logins for all instances of a placer: hashes off the event loops, on two threads with a
 * bounded queue, and {@link LoginRateLimiter} decides who waits. A passcode found good is
 * remembered as a keyed digest until accounts change, so that a thousand nodes that dial again do
 * not cost a thousand hashes. Safe for use by several threads.
 */
final class LoginAuthenticator implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int QUEUE = 512;
    private static final int REMEMBERED = 20_000;
    private static final String NO = "login or passcode not accepted";

    private final Clock clock = Clock.system();
    private final LoginRateLimiter throttle =
            new LoginRateLimiter(LoginRateLimiter.Settings.DEFAULTS);
    private final ThreadPoolExecutor workers =
            new ThreadPoolExecutor(
                    THREADS,
                    THREADS,
                    1,
                    TimeUnit.MINUTES,
                    new ArrayBlockingQueue<>(QUEUE),
                    task -> {
                        Thread t = new Thread(task, "login");
                        t.setDaemon(true);
                        return t;
                    });
    private final byte[] secret = new byte[32];
    private final Map<String, String> good =
            new ConcurrentHashMap<>(); // digest of login, passcode and stored secret
    private volatile Map<String, Account> accounts;

    LoginAuthenticator(List<Account> accounts) {
        new SecureRandom().nextBytes(secret);
        set(accounts);
    }

    /** Other accounts from now on; who is connected stays so. */
    void set(List<Account> list) {
        Map<String, Account> map = new HashMap<>();
        list.forEach(a -> map.put(a.login(), a));
        accounts = Map.copyOf(map);
        good.clear();
    }

    /** The account of a login, or null. */
    Account account(String login) {
        return login == null ? null : accounts.get(login);
    }

    /**
     * Checks a login. {@code answer} hears null where it is good, else what to tell the peer; on a
     * thread of the gate's or before this returns. {@code later} runs something after so many
     * microseconds.
     */
    void check(
            String address,
            String login,
            String passcode,
            DelayedExecutor later,
            Consumer<String> answer) {
        String name = login == null ? "" : login.length() > Passcodes.MOST_LENGTH ? "" : login;
        Account account = accounts.get(name);
        String digest =
                account == null || account.secret() == null || passcode == null
                        ? null
                        : digest(name, passcode, account.secret());
        if (digest != null && good.containsKey(digest)) {
            synchronized (throttle) {
                // a passcode known to be good is no guess, so it need not wait for what others
                // guessed
                throttle.attemptStarted(clock.now(), address, name);
                throttle.attemptEnded(clock.now(), address, name, true);
            }
            answer.accept(null);
            return;
        }
        long at;
        synchronized (throttle) {
            at = throttle.attemptStarted(clock.now(), address, name);
        }
        if (at < 0) {
            answer.accept("too many tries of this login from your address; wait");
            return;
        }
        long wait = at - clock.now();
        Runnable look =
                () ->
                        work(
                                () -> look(address, name, account, passcode, digest, answer),
                                address,
                                name,
                                answer);
        if (wait <= 0) {
            look.run();
        } else {
            later.run(wait, look);
        }
    }

    /** Runs something after so many microseconds. */
    interface DelayedExecutor {
        void run(long micros, Runnable what);
    }

    private void work(Runnable task, String address, String name, Consumer<String> answer) {
        try {
            workers.execute(task);
        } catch (RejectedExecutionException e) {
            synchronized (throttle) {
                throttle.abandoned(address, name);
            }
            answer.accept("too many logins at once; try again");
        }
    }

    private void look(
            String address,
            String name,
            Account account,
            String passcode,
            String digest,
            Consumer<String> answer) {
        boolean matches =
                digest != null && good.containsKey(digest)
                        || Passcodes.matches(passcode, account == null ? null : account.secret());
        if (matches && digest != null && good.size() < REMEMBERED) {
            good.put(digest, name);
        }
        synchronized (throttle) {
            throttle.attemptEnded(clock.now(), address, name, matches);
        }
        answer.accept(matches ? null : NO);
    }

    private String digest(String login, String passcode, String stored) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(secret, "HmacSHA256"));
            for (String part : new String[] {login, passcode, stored}) {
                byte[] octets = part.getBytes(StandardCharsets.UTF_8);
                mac.update((octets.length + ":").getBytes(StandardCharsets.UTF_8));
                mac.update(octets);
            }
            return java.util.HexFormat.of().formatHex(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }

    /** Whether a certificate's name and a login given beside it may go together. */
    static boolean fits(String login, String certified) {
        return login == null
                || login.isEmpty()
                || MessageDigest.isEqual(
                        login.getBytes(StandardCharsets.UTF_8),
                        certified.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        workers.shutdownNow();
    }
}
