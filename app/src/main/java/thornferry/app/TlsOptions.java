package thornferry.app;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import thornferry.security.Tls;

/** TLS towards a placer: none of the options means plain text. */
final class TlsOptions {
    @Option(
            names = "--ca",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_CA:-}",
            description =
                    "Speak TLS with a placer whose certificate this authority signed;"
                            + " THORNFERRY_CA.")
    String authority;

    @Option(
            names = "--cert",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_CERT:-}",
            description =
                    "Your certificate, in place of login and passcode; THORNFERRY_CERT. Its key is"
                            + " beside it as .key unless --cert-key says otherwise.")
    String certificate;

    @Option(
            names = "--cert-key",
            paramLabel = "FILE",
            defaultValue = "${env:THORNFERRY_KEY:-}",
            description = "The certificate's key; THORNFERRY_KEY.")
    String key;

    boolean certified() {
        return certificate != null && !certificate.isEmpty();
    }

    /** Null for plain text. */
    SslContext context() throws IOException {
        boolean trusting = authority != null && !authority.isEmpty();
        if (!trusting && !certified()) {
            return null;
        }
        String keyFile =
                key != null && !key.isEmpty()
                        ? key
                        : certified() ? certificate.replaceAll("\\.pem$", ".key") : null;
        return Tls.client(
                new Tls.Pem(
                        certified() ? Path.of(certificate) : null,
                        keyFile == null ? null : Path.of(keyFile),
                        trusting ? Path.of(authority) : null));
    }
}
