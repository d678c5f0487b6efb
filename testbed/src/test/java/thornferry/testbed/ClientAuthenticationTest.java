package thornferry.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.ssl.SslContext;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import thornferry.protocol.ClientConnection;
import thornferry.security.Keys;
import thornferry.security.Tls;

/** Authentication over TLS, by certificate and by hashed passcode. */
class ClientAuthenticationTest {
    private static final String WRONG_CREDENTIALS = "login or passcode not accepted";
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    @TempDir Path directory;

    private TlsSite site;

    @BeforeEach
    void startSite() throws Exception {
        site = TlsSite.start(directory);
    }

    @AfterEach
    void closeSite() {
        site.close();
    }

    private String outcome(ClientConnection.Target target) throws Exception {
        return site.open(target).outcome();
    }

    @Test
    void acceptsCertificateOrPasscodeAndNothingElse() throws Exception {
        assertThat(outcome(site.byCertificate("depot1"))).isEqualTo(RecordingConnection.CONNECTED);
        assertThat(outcome(site.byCertificate("depot1", "depot1")))
                .isEqualTo(RecordingConnection.CONNECTED);
        assertThat(outcome(site.byPasscode("depot1", TlsSite.DEPOT1_PASSCODE)))
                .isEqualTo(RecordingConnection.CONNECTED);
        assertThat(outcome(site.byCertificate("depot1", "depot2")))
                .contains("not that of the login");
        assertThat(outcome(site.byPasscode("depot1", "two"))).contains(WRONG_CREDENTIALS);
        assertThat(outcome(site.byPasscode("depot2", ""))).contains(WRONG_CREDENTIALS);
        assertThat(outcome(site.byPasscode("nobody", TlsSite.DEPOT1_PASSCODE)))
                .contains(WRONG_CREDENTIALS);
        site.keys().issue("stranger", Keys.Use.OWNER, List.of(), TlsSite.CERTIFICATE_VALIDITY);
        assertThat(outcome(site.byCertificate("stranger"))).contains(WRONG_CREDENTIALS);
    }

    @Test
    void rejectsExpiredNotYetValidAndForeignCertificates() throws Exception {
        // expired for longer than the clock skew that certificates allow for
        site.keys().issue("depot2", Keys.Use.OWNER, List.of(), Duration.ofSeconds(-400));
        assertThat(site.keys().list().get(2).remainingValidity()).isNegative();
        assertRejectedByTls(site.byCertificate("depot2"));
        site.keys()
                .issue(
                        "depot2",
                        Keys.Use.OWNER,
                        List.of(),
                        Instant.now().plusSeconds(3_600),
                        TlsSite.CERTIFICATE_VALIDITY);
        assertRejectedByTls(site.byCertificate("depot2"));
        Keys foreignKeys = new Keys(directory.resolve("foreign"));
        foreignKeys.init("elsewhere", TlsSite.CERTIFICATE_VALIDITY);
        foreignKeys.issue("depot1", Keys.Use.OWNER, List.of(), TlsSite.CERTIFICATE_VALIDITY);
        SslContext foreignClient =
                Tls.clientContext(
                        new Tls.Pem(
                                foreignKeys.certificate("depot1"),
                                foreignKeys.key("depot1"),
                                site.keys().authority()));
        assertRejectedByTls(site.target(null, null, foreignClient));
    }

    /** The connection must end in the handshake, before any credentials are compared. */
    private void assertRejectedByTls(ClientConnection.Target target) throws Exception {
        assertThat(outcome(target))
                .startsWith(RecordingConnection.REJECTED)
                .doesNotContain("passcode");
    }

    @Test
    void clientRejectsPlacerOfUntrustedAuthority() throws Exception {
        Keys foreignKeys = new Keys(directory.resolve("foreign"));
        foreignKeys.init("elsewhere", TlsSite.CERTIFICATE_VALIDITY);
        SslContext distrustingClient =
                Tls.clientContext(new Tls.Pem(null, null, foreignKeys.authority()));
        assertThat(outcome(site.target("depot1", TlsSite.DEPOT1_PASSCODE, distrustingClient)))
                .contains("certif");
    }

    @Test
    void tellsPlainTextClientThatPortSpeaksTls() throws Exception {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), site.address().getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(
                            "CONNECT\naccept-version:1.2\nhost:h\nlogin:depot1\npasscode:one\n\n\0"
                                    .getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            assertThat(new String(in.readAllBytes(), StandardCharsets.UTF_8))
                    .contains("ERROR", "speaks TLS 1.3 only");
        }
    }

    @Test
    void slowsPasscodeGuessingButNotOtherClients() throws Exception {
        for (int i = 0; i < 5; i++) {
            assertThat(outcome(site.byPasscode("depot1", "guess" + i))).contains("not accepted");
        }
        List<RecordingConnection> guesses = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            guesses.add(site.open(site.byPasscode("depot1", "more" + i)));
        }
        // The TLS handshakes run concurrently, so the guesses arrive in any order. Two may be
        // pending at a time; the other four are rejected unchecked.
        List<String> outcomes = new ArrayList<>();
        for (RecordingConnection guess : guesses) {
            outcomes.add(guess.outcome());
        }
        assertThat(outcomes).filteredOn(text -> text.contains("not accepted")).hasSize(2);
        assertThat(outcomes).filteredOn(text -> text.contains("too many tries")).hasSize(4);
        assertThat(outcome(site.byCertificate("depot1")))
                .as("by certificate")
                .isEqualTo(RecordingConnection.CONNECTED);
        assertThat(outcome(site.byPasscode("ops", "o")))
                .as("another login, same address")
                .isEqualTo(RecordingConnection.CONNECTED);
    }

    @Test
    void namesMissingCertificateFile() {
        assertThatThrownBy(
                        () ->
                                Tls.serverContext(
                                        new Tls.Pem(
                                                directory.resolve("none.pem"),
                                                site.keys().key("placer"),
                                                null),
                                        Tls.Clients.NONE))
                .hasMessageContaining("none.pem");
    }
}
