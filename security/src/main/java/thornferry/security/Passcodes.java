package thornferry.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.springframework.security.crypto.argon2.Argon2PasswordEncoder;
import org.springframework.security.crypto.bcrypt.BCryptPasswordEncoder;
import org.springframework.security.crypto.password.PasswordEncoder;

/**
 * Salted hashes of passcodes: Argon2id (RFC 9106) in its usual text form, {@code $argon2id$...};
 * bcrypt ({@code $2...}) is understood too. Checking one takes tens of milliseconds and 16 MiB on
 * purpose, so never on an event loop.
 */
public final class Passcodes {
    private static final int SALT = 16;
    private static final int LENGTH = 32;
    private static final int LANES = 1;
    private static final int MEMORY_KIB = 1 << 14;
    private static final int PASSES = 2;

    /** Longer ones are refused unread: hashing them would be work that a stranger chooses. */
    public static final int MOST_LENGTH = 256;

    private static final PasswordEncoder ARGON2 =
            new Argon2PasswordEncoder(SALT, LENGTH, LANES, MEMORY_KIB, PASSES);
    private static final PasswordEncoder BCRYPT = new BCryptPasswordEncoder();

    /**
     * Checked where there is no such login, so that the answer takes as long as for one that there
     * is.
     */
    private static final String NOBODY = ARGON2.encode("nobody's");

    private Passcodes() {}

    /** A new hash, with a salt of its own. */
    public static String hash(String passcode) {
        return ARGON2.encode(passcode);
    }

    /** Whether the text is a hash that {@link #matches} understands. */
    public static boolean isHash(String text) {
        return text.matches("\\$argon2(id|i|d)\\$.+\\$.+\\$.+")
                || text.matches("\\$2[aby]\\$\\d\\d\\$.{53}");
    }

    /**
     * Whether the passcode is that of the hash, or equal to a stored plain one. A {@code stored} of
     * null never is.
     */
    public static boolean matches(String passcode, String stored) {
        String given = passcode == null || passcode.length() > MOST_LENGTH ? "" : passcode;
        if (stored == null || !isHash(stored)) {
            boolean equal =
                    stored != null
                            && passcode != null
                            && MessageDigest.isEqual(
                                    given.getBytes(StandardCharsets.UTF_8),
                                    stored.getBytes(StandardCharsets.UTF_8));
            if (!equal) {
                ARGON2.matches(given, NOBODY); // only for the time it takes
            }
            return equal;
        }
        boolean good = (stored.startsWith("$2") ? BCRYPT : ARGON2).matches(given, stored);
        return good && passcode != null;
    }
}
