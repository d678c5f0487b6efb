package thornferry.app;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import thornferry.security.Tls;

/** Options for TLS towards a placer; without any of them connections are plain text. */
final class TlsOptions {
    @Option(
            names = "--ca",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_CA:-}",
            description =
                    "Speak TLS with a placer whose certificate this authority signed;"
                            + " THORNFERRY_CA.")
    private String authority;

    @Option(
            names = "--cert",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_CERT:-}",
            description =
                    "Your certificate, in place of login and passcode; THORNFERRY_CERT. Its key is"
                            + " beside it as .key unless --cert-key says otherwise.")
    private String certificate;

    @Option(
            names = "--cert-key",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_KEY:-}",
            description = "The certificate's key; THORNFERRY_KEY.")
    private String key;

    /** Whether a certificate identifies the client, in place of login and passcode. */
    boolean hasCertificate() {
        return isGiven(certificate);
    }

    /**
     * The context of connections to the placer.
     *
     * @return null for plain text
     * @throws IOException if a file cannot be used
     */
    SslContext context() throws IOException {
        if (!isGiven(authority) && !hasCertificate()) {
            return null;
        }
        return Tls.client(
                new Tls.Pem(pathOrNull(certificate), pathOrNull(keyFile()), pathOrNull(authority)));
    }

    /** The file of the key: as given, or beside the certificate. */
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
