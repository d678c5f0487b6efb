package thornferry.app;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import thornferry.security.Tls;

/** The options for TLS connections to a placer; without them connections are plain text. */
final class TlsOptions {
    @Option(
            names = "--ca",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_CA:-}",
            description =
                    "Certificate of the authority that signed the placer's certificate; enables"
                            + " TLS; default: environment variable THORNFERRY_CA.")
    private String authority;

    @Option(
            names = "--cert",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_CERT:-}",
            description =
                    "Client certificate, used in place of login and passcode; default: environment"
                            + " variable THORNFERRY_CERT.")
    private String certificate;

    @Option(
            names = "--cert-key",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_KEY:-}",
            description =
                    "Private key of the client certificate; default: environment variable"
                            + " THORNFERRY_KEY, or else the file next to the certificate with the"
                            + " extension .key.")
    private String key;

    /** Returns whether a certificate identifies the client, in place of login and passcode. */
    boolean hasCertificate() {
        return isGiven(certificate);
    }

    /**
     * Returns the TLS context for connections to the placer.
     *
     * @return the context; null for connections in plain text
     * @throws IOException if a file cannot be used
     */
    SslContext context() throws IOException {
        if (!isGiven(authority) && !hasCertificate()) {
            return null;
        }
        return Tls.clientContext(
                new Tls.Pem(pathOrNull(certificate), pathOrNull(keyFile()), pathOrNull(authority)));
    }

    /** Returns the file of the private key, as given or next to the certificate. */
    private String keyFile() {
        if (isGiven(key) || !hasCertificate()) {
            return key;
        }
        return certificate.replaceAll("\\.pem$", ".key");
    }

    private static Path pathOrNull(String file) {
        return isGiven(file) ? Path.of(file) : null;
    }

    private static boolean isGiven(String value) {
        return value != null && !value.isEmpty();
    }
}
