package thornferry.security;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SecurityTest {
    @TempDir Path directory;

    @Test
    void aHashIsSaltedAndMatchesItsPasscodeAlone() {
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
    void nobodysPasscodeMatchesNothing() {
        assertThat(Passcodes.matches("nobody's", null)).isFalse();
        assertThat(Passcodes.matches(null, null)).isFalse();
        assertThat(Passcodes.matches("plain", "plain")).isTrue();
        assertThat(Passcodes.matches("plain", "other")).isFalse();
    }

    @Test
    void bcryptIsUnderstood() {
        String hash =
                new org.springframework.security.crypto.bcrypt.BCryptPasswordEncoder(4).encode("x");
        assertThat(Passcodes.isHash(hash)).isTrue();
        assertThat(Passcodes.matches("x", hash)).isTrue();
        assertThat(Passcodes.matches("y", hash)).isFalse();
    }

    @Test
    void makesAnAuthorityAndWhatItSigns() throws IOException {
        Keys keys = new Keys(directory);
        assertThatThrownBy(
                        () ->
                                keys.issue(
                                        "placer",
                                        Keys.Use.SERVER,
                                        List.of("localhost"),
                                        Duration.ofDays(1)))
                .hasMessageContaining("make an authority first");
        keys.init("site", Duration.ofDays(3_650));
        assertThatThrownBy(() -> keys.init("site", Duration.ofDays(1)))
                .hasMessageContaining("there is an authority");
        keys.issue(
                "placer", Keys.Use.SERVER, List.of("localhost", "127.0.0.1"), Duration.ofDays(90));
        keys.issue("depot1", Keys.Use.OWNER, List.of(), Duration.ofDays(30));
        assertThat(keys.list())
                .extracting(Keys.Entry::name)
                .containsExactly("ca", "depot1", "placer");
        assertThat(keys.list())
                .extracting(Keys.Entry::use)
                .containsExactly("authority", "owner", "server");
        assertThat(keys.list()).allMatch(Keys.Entry::oursStill);
        assertThat(Files.getPosixFilePermissions(keys.key("placer")))
                .isEqualTo(PosixFilePermissions.fromString("rw-------"));
        assertThat(
                        Tls.server(
                                new Tls.Pem(
                                        keys.certificate("placer"),
                                        keys.key("placer"),
                                        keys.authority()),
                                Tls.Clients.WANTED))
                .isNotNull();
        assertThatThrownBy(() -> keys.issue("../x", Keys.Use.OWNER, List.of(), Duration.ofDays(1)))
                .hasMessageContaining("a name has");
    }

    @Test
    void aRenewedCertificateKeepsItsKeyItsUseAndItsHosts() throws IOException {
        Keys keys = new Keys(directory);
        keys.init("site", Duration.ofDays(3_650));
        keys.issue("placer", Keys.Use.SERVER, List.of("localhost", "10.1.2.3"), Duration.ofDays(2));
        byte[] key = Files.readAllBytes(keys.key("placer"));
        byte[] certificate = Files.readAllBytes(keys.certificate("placer"));
        keys.renew("placer");
        assertThat(Files.readAllBytes(keys.key("placer"))).isEqualTo(key);
        assertThat(Files.readAllBytes(keys.certificate("placer"))).isNotEqualTo(certificate);
        Keys.Entry renewed = keys.list().get(1);
        assertThat(renewed.use()).isEqualTo("server");
        assertThat(renewed.left()).isBetween(Duration.ofHours(47), Duration.ofHours(48));
    }

    @Test
    void aBrokenFileIsNamed() throws IOException {
        Keys keys = new Keys(directory);
        keys.init("site", Duration.ofDays(1));
        Files.writeString(keys.certificate("odd"), "this is no certificate");
        assertThatThrownBy(keys::list).hasMessageContaining("odd.pem");
        assertThatThrownBy(
                        () ->
                                Tls.server(
                                        new Tls.Pem(keys.certificate("odd"), keys.key("odd"), null),
                                        Tls.Clients.NONE))
                .hasMessageContaining("odd.key");
    }
}
