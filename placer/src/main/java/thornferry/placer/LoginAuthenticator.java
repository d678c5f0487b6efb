package thornferry.placer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Checks logins for all instances of a placer. Passcodes are hashed off the event loops, by two
 * threads with a bounded queue, and a {@link LoginRateLimiter} delays or rejects peers that guess.
 * A passcode that was found correct is cached as a keyed digest until the accounts change, so that
 * a thousand nodes that reconnect do not require a thousand passcode hashes. Safe for use by
 * several threads.
 */
final class LoginAuthenticator implements AutoCloseable {
    /**
     * The rejection of a wrong login or passcode; the text does not say which of the two is wrong.
     */
    static final String NOT_ACCEPTED = "login or passcode not accepted";

    private static final String TOO_MANY_ATTEMPTS =
            "too many tries of this login from your address; wait";
    private static final String TOO_MANY_LOGINS = "too many logins at once; try again";

    private static final int THREADS = 2;
    private static final int MAX_QUEUED_CHECKS = 512;
    private static final int MAX_CACHED_DIGESTS = 20_000;
    private static final int DIGEST_KEY_BYTES = 32;
    private static final String DIGEST_ALGORITHM = "HmacSHA256";

    /**
     * The credentials that a peer presents.
     *
     * @param address the address of the peer
     * @param login the login, or null if the peer gave none
     * @param passcode the passcode, or null if the peer gave none
     */
    record Credentials(String address, String login, String passcode) {}

    /** Runs a task after a delay. */
    interface DelayedExecutor {
        void execute(long delayMicros, Runnable task);
    }

    /**
     * One check of credentials.
     *
     * @param login the login as given, or empty if none was given or it is too long
     * @param account the account of the login, or null if there is none
     * @param digest the key in the cache of accepted digests; null if the check cannot be cached
     * @param callback receives empty if the credentials are correct, or the reason of the rejection
     */
    private record LoginCheck(
            String address,
            String login,
            String passcode,
            Account account,
            String digest,
            Consumer<Optional<String>> callback) {
        void accept() {
            callback.accept(Optional.empty());
        }

        void reject(String reason) {
            callback.accept(Optional.of(reason));
        }
    }

    private final Clock clock = Clock.system();

    /** Not safe for use by several threads; each access synchronizes on the limiter itself. */
    private final LoginRateLimiter rateLimiter =
            new LoginRateLimiter(LoginRateLimiter.Settings.DEFAULTS);

    private final ThreadPoolExecutor workers =
            new ThreadPoolExecutor(
                    THREADS,
                    THREADS,
                    1,
                    TimeUnit.MINUTES,
                    new ArrayBlockingQueue<>(MAX_QUEUED_CHECKS),
                    LoginAuthenticator::workerThread);
    private final byte[] digestKey = new byte[DIGEST_KEY_BYTES];

    /** Digests of login, passcode and stored secret of successful checks; the value is unused. */
    private final Map<String, String> acceptedDigests = new ConcurrentHashMap<>();

    private volatile Map<String, Account> accounts;

    LoginAuthenticator(List<Account> accounts) {
        new SecureRandom().nextBytes(digestKey);
        setAccounts(accounts);
    }

    private static Thread workerThread(Runnable task) {
        Thread thread = new Thread(task, "login");
        thread.setDaemon(true);
        return thread;
    }

    /** Replaces the accounts; open connections stay open. */
    void setAccounts(List<Account> newAccounts) {
        Map<String, Account> byLogin = new HashMap<>();
        newAccounts.forEach(account -> byLogin.put(account.login(), account));
        accounts = Map.copyOf(byLogin);
        acceptedDigests.clear();
    }

    /** Returns the account of a login, or null if there is none. */
    Account account(String login) {
        return login == null ? null : accounts.get(login);
    }

    /**
     * Checks credentials.
     *
     * @param delayedExecutor runs checks that the rate limiter delays
     * @param callback receives empty if the credentials are correct, or the reason of the
     *     rejection; on another thread, or before this method returns
     */
    void check(
            Credentials credentials,
            DelayedExecutor delayedExecutor,
            Consumer<Optional<String>> callback) {
        LoginCheck check = loginCheck(credentials, callback);
        if (isCached(check)) {
            // A passcode known to be correct is not a guess, so it is not delayed by the guesses
            // of other peers.
            synchronized (rateLimiter) {
                rateLimiter.attemptStarted(clock.now(), check.address(), check.login());
                rateLimiter.attemptEnded(clock.now(), check.address(), check.login(), true);
            }
            check.accept();
            return;
        }
        long startAtMicros;
        synchronized (rateLimiter) {
            startAtMicros = rateLimiter.attemptStarted(clock.now(), check.address(), check.login());
        }
        if (startAtMicros < 0) {
            check.reject(TOO_MANY_ATTEMPTS);
            return;
        }
        long delayMicros = startAtMicros - clock.now();
        if (delayMicros <= 0) {
            submit(check);
        } else {
            delayedExecutor.execute(delayMicros, () -> submit(check));
        }
    }

    private LoginCheck loginCheck(Credentials credentials, Consumer<Optional<String>> callback) {
        String login = credentials.login();
        if (login == null || login.length() > Passcodes.MAX_LENGTH) {
            login = "";
        }
        Account account = accounts.get(login);
        String passcode = credentials.passcode();
        String digest =
                account == null || account.secret() == null || passcode == null
                        ? null
                        : digest(login, passcode, account.secret());
        return new LoginCheck(credentials.address(), login, passcode, account, digest, callback);
    }

    private boolean isCached(LoginCheck check) {
        return check.digest() != null && acceptedDigests.containsKey(check.digest());
    }

    private void submit(LoginCheck check) {
        try {
            workers.execute(() -> run(check));
        } catch (RejectedExecutionException e) {
            synchronized (rateLimiter) {
                rateLimiter.attemptAbandoned(check.address(), check.login());
            }
            check.reject(TOO_MANY_LOGINS);
        }
    }

    private void run(LoginCheck check) {
        String storedSecret = check.account() == null ? null : check.account().secret();
        boolean correct = isCached(check) || Passcodes.matches(check.passcode(), storedSecret);
        if (correct && check.digest() != null && acceptedDigests.size() < MAX_CACHED_DIGESTS) {
            acceptedDigests.put(check.digest(), check.login());
        }
        synchronized (rateLimiter) {
            rateLimiter.attemptEnded(clock.now(), check.address(), check.login(), correct);
        }
        if (correct) {
            check.accept();
        } else {
            check.reject(NOT_ACCEPTED);
        }
    }

    private String digest(String login, String passcode, String storedSecret) {
        try {
            Mac mac = Mac.getInstance(DIGEST_ALGORITHM);
            mac.init(new SecretKeySpec(digestKey, DIGEST_ALGORITHM));
            for (String part : List.of(login, passcode, storedSecret)) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                // the length prefix makes the input differ for any two lists of parts
                mac.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
                mac.update(bytes);
            }
            return HexFormat.of().formatHex(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(DIGEST_ALGORITHM + " is part of every Java runtime", e);
        }
    }

    /**
     * Returns whether the login that a peer gave, if any, is the one that its certificate names.
     */
    static boolean matchesCertificate(String login, String certifiedLogin) {
        return login == null
                || login.isEmpty()
                || MessageDigest.isEqual(
                        login.getBytes(StandardCharsets.UTF_8),
                        certifiedLogin.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        workers.shutdownNow();
    }
}
