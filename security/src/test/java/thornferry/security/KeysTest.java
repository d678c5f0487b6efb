package thornferry.security;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class KeysTest {
    private static final Duration AUTHORITY_VALIDITY = Duration.ofDays(3_650);

    @TempDir Path directory;

    private Keys keys;

    @BeforeEach
    void setUp() {
        keys = new Keys(directory);
    }

    @Test
    void createsAuthorityAndIssuesCertificates() throws IOException {
        assertThatThrownBy(() -> issueServer("placer", List.of("localhost"), Duration.ofDays(1)))
                .isInstanceOf(KeyFileException.Unreadable.class)
                .hasMessageContaining("create an authority first");
        keys.init("site", AUTHORITY_VALIDITY);
        assertThatThrownBy(() -> keys.init("site", Duration.ofDays(1)))
                .isInstanceOf(KeyFileException.AuthorityExists.class)
                .hasMessageContaining("the authority already exists");
        issueServer("placer", List.of("localhost", "127.0.0.1"), Duration.ofDays(90));
        keys.issue("depot1", Keys.Use.OWNER, List.of(), Duration.ofDays(30));
        assertThat(keys.list())
                .extracting(CertificateStatus::name)
                .containsExactly("ca", "depot1", "placer");
        assertThat(keys.list())
                .extracting(CertificateStatus::use)
                .containsExactly("authority", "owner", "server");
        assertThat(keys.list()).allMatch(CertificateStatus::signedByAuthority);
        assertThat(Files.getPosixFilePermissions(keys.key("placer")))
                .isEqualTo(PosixFilePermissions.fromString("rw-------"));
        assertThat(
                        Tls.serverContext(
                                new Tls.Pem(
                                        keys.certificate("placer"),
                                        keys.key("placer"),
                                        keys.authority()),
                                Tls.Clients.WANTED))
                .isNotNull();
        assertThatThrownBy(() -> keys.issue("../x", Keys.Use.OWNER, List.of(), Duration.ofDays(1)))
                .isInstanceOf(KeyFileException.InvalidName.class)
                .hasMessageContaining("the name of a certificate must have");
    }

    @Test
    void renewedCertificateKeepsKeyUseAndHosts() throws Exception {
        keys.init("site", AUTHORITY_VALIDITY);
        issueServer("placer", List.of("localhost", "10.1.2.3"), Duration.ofDays(2));
        byte[] key = Files.readAllBytes(keys.key("placer"));
        byte[] certificate = Files.readAllBytes(keys.certificate("placer"));
        Collection<List<?>> hosts = alternativeNames("placer");
        keys.renew("placer");
        assertThat(Files.readAllBytes(keys.key("placer"))).isEqualTo(key);
        assertThat(Files.readAllBytes(keys.certificate("placer"))).isNotEqualTo(certificate);
        assertThat(hosts).hasSize(2);
        assertThat(alternativeNames("placer")).containsExactlyElementsOf(hosts);
        CertificateStatus renewed = keys.list().get(1);
        assertThat(renewed.use()).isEqualTo("server");
        assertThat(renewed.remainingValidity())
                .isBetween(Duration.ofHours(47), Duration.ofHours(48));
    }

    @Test
    void errorsNameInvalidFile() throws IOException {
        keys.init("site", Duration.ofDays(1));
        Files.writeString(keys.certificate("odd"), "this is not a certificate");
        assertThatThrownBy(keys::list)
                .isInstanceOf(KeyFileException.InvalidContent.class)
                .hasMessageContaining("odd.pem");
        assertThatThrownBy(
                        () ->
                                Tls.serverContext(
                                        new Tls.Pem(keys.certificate("odd"), keys.key("odd"), null),
                                        Tls.Clients.NONE))
                .hasMessageContaining("odd.key");
    }

    private void issueServer(String name, List<String> hosts, Duration validFor)
            throws IOException {
        keys.issue(CertificateRequest.validNow(name, Keys.Use.SERVER, hosts, validFor));
    }

    private Collection<List<?>> alternativeNames(String name) throws Exception {
        try (InputStream in = Files.newInputStream(keys.certificate(name))) {
            X509Certificate certificate =
                    (X509Certificate)
                            CertificateFactory.getInstance("X.509").generateCertificate(in);
            return certificate.getSubjectAlternativeNames();
        }
    }
}
