package thornferry.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.regex.Pattern;
import org.springframework.security.crypto.argon2.Argon2PasswordEncoder;
import org.springframework.security.crypto.bcrypt.BCryptPasswordEncoder;
import org.springframework.security.crypto.password.PasswordEncoder;

/**
 * Creates and checks salted hashes of passcodes. Hashes are created with Argon2id (RFC 9106) in its
 * usual text form, {@code $argon2id$...}; bcrypt hashes ({@code $2...}) can be checked too.
 *
 * <p>Checking a passcode takes tens of milliseconds and 16 MiB by design, so it must never run on
 * an event loop.
 */
public final class Passcodes {
    /**
     * The maximum length of a passcode. A longer one never matches, so that unauthenticated peers
     * cannot make this process hash large inputs.
     */
    public static final int MAX_LENGTH = 256;

    private static final int SALT_BYTES = 16;
    private static final int HASH_BYTES = 32;
    private static final int PARALLELISM = 1;
    private static final int MEMORY_KIB = 16 * 1024;
    private static final int ITERATIONS = 2;
    private static final PasswordEncoder ARGON2 =
            new Argon2PasswordEncoder(SALT_BYTES, HASH_BYTES, PARALLELISM, MEMORY_KIB, ITERATIONS);

    private static final PasswordEncoder BCRYPT = new BCryptPasswordEncoder();
    private static final String BCRYPT_PREFIX = "$2";

    private static final Pattern ARGON2_HASH = Pattern.compile("\\$argon2(id|i|d)\\$.+\\$.+\\$.+");
    private static final Pattern BCRYPT_HASH = Pattern.compile("\\$2[aby]\\$\\d\\d\\$.{53}");

    /**
     * The hash that is checked if none is stored, so that a mismatch takes as long as with a stored
     * hash.
     */
    private static final String PLACEHOLDER_HASH = ARGON2.encode("nobody's");

    private Passcodes() {}

    /** Returns a new hash of a passcode, with a random salt. */
    public static String hash(String passcode) {
        return ARGON2.encode(passcode);
    }

    /** Returns whether a text is a hash that {@link #matches} supports. */
    public static boolean isHash(String text) {
        return ARGON2_HASH.matcher(text).matches() || BCRYPT_HASH.matcher(text).matches();
    }

    /**
     * Returns whether a passcode matches a stored hash or equals a stored plain passcode.
     *
     * @param passcode the passcode that a peer presented; null never matches
     * @param stored a hash or a plain passcode; null if none is stored, which nothing matches
     */
    public static boolean matches(String passcode, String stored) {
        String candidate = passcode == null || passcode.length() > MAX_LENGTH ? "" : passcode;
        if (stored != null && isHash(stored)) {
            boolean matchesHash = encoderOf(stored).matches(candidate, stored);
            return matchesHash && passcode != null;
        }
        boolean matchesPlain =
                stored != null && passcode != null && equalInConstantTime(candidate, stored);
        if (!matchesPlain) {
            checkPlaceholder(candidate);
        }
        return matchesPlain;
    }

    private static PasswordEncoder encoderOf(String hash) {
        return hash.startsWith(BCRYPT_PREFIX) ? BCRYPT : ARGON2;
    }

    private static boolean equalInConstantTime(String candidate, String stored) {
        return MessageDigest.isEqual(
                candidate.getBytes(StandardCharsets.UTF_8),
                stored.getBytes(StandardCharsets.UTF_8));
    }

    /** Takes as long as checking a hash; the result is not used. */
    private static void checkPlaceholder(String candidate) {
        ARGON2.matches(candidate, PLACEHOLDER_HASH);
    }
}
