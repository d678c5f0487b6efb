package thornferry.security;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.springframework.security.crypto.bcrypt.BCryptPasswordEncoder;

class PasscodesTest {
    private static final int MIN_BCRYPT_STRENGTH = 4;

    @Test
    void hashIsSaltedAndMatchesOnlyItsPasscode() {
        String hash = Passcodes.hash("s3cret");
        assertThat(hash).startsWith("$argon2id$").isNotEqualTo(Passcodes.hash("s3cret"));
        assertThat(Passcodes.isHash(hash)).isTrue();
        assertThat(Passcodes.matches("s3cret", hash)).isTrue();
        assertThat(Passcodes.matches("S3cret", hash)).isFalse();
        assertThat(Passcodes.matches("", hash)).isFalse();
        assertThat(Passcodes.matches(null, hash)).isFalse();
        assertThat(Passcodes.matches(hash, hash)).as("the hash is not the passcode").isFalse();
        assertThat(Passcodes.matches("x".repeat(100_000), hash)).isFalse();
    }

    @Test
    void matchesPlainPasscodeAndNothingIfNoneIsStored() {
        // the passcode of the placeholder hash, which is checked if none is stored
        assertThat(Passcodes.matches("nobody's", null)).isFalse();
        assertThat(Passcodes.matches(null, null)).isFalse();
        assertThat(Passcodes.matches("plain", "plain")).isTrue();
        assertThat(Passcodes.matches("plain", "other")).isFalse();
    }

    @Test
    void matchesBcryptHash() {
        String hash = new BCryptPasswordEncoder(MIN_BCRYPT_STRENGTH).encode("x");
        assertThat(Passcodes.isHash(hash)).isTrue();
        assertThat(Passcodes.matches("x", hash)).isTrue();
        assertThat(Passcodes.matches("y", hash)).isFalse();
    }
}
