package thornferry.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.regex.Pattern;
import org.springframework.security.crypto.argon2.Argon2PasswordEncoder;
import org.springframework.security.crypto.bcrypt.BCryptPasswordEncoder;
import org.springframework.security.crypto.password.PasswordEncoder;

/**
 * Salted hashes of passcodes: Argon2id (RFC 9106) in its usual text form, {@code $argon2id$...};
 * bcrypt ({@code $2...}) is supported too. Checking a passcode takes tens of milliseconds and 16
 * MiB by design, so it must never run on an event loop.
 */
public final class Passcodes {
    /** Longer passcodes match nothing: a stranger must not choose how much there is to hash. */
    public static final int MOST_LENGTH = 256;

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

    /** Checked if there is no hash, so that the answer takes as long as if there were one. */
    private static final String PLACEHOLDER_HASH = ARGON2.encode("nobody's");

    private Passcodes() {}

    /** A new hash, with a random salt. */
    public static String hash(String passcode) {
        return ARGON2.encode(passcode);
    }

    /** Whether the text is a hash that {@link #matches} supports. */
    public static boolean isHash(String text) {
        return ARGON2_HASH.matcher(text).matches() || BCRYPT_HASH.matcher(text).matches();
    }

    /**
     * Whether the passcode is that of the stored hash, or equal to a stored plain passcode.
     *
     * @param passcode as presented; null matches nothing
     * @param stored a hash or a plain passcode; null is matched by nothing
     */
    public static boolean matches(String passcode, String stored) {
        String candidate = passcode == null || passcode.length() > MOST_LENGTH ? "" : passcode;
        if (stored != null && isHash(stored)) {
            boolean matchesHash = encoderOf(stored).matches(candidate, stored);
            return matchesHash && passcode != null;
        }
        boolean matchesPlain =
                stored != null && passcode != null && equalInConstantTime(candidate, stored);
        if (!matchesPlain) {
            spendTimeOfOneCheck(candidate);
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

    private static void spendTimeOfOneCheck(String candidate) {
        ARGON2.matches(candidate, PLACEHOLDER_HASH);
    }
}
