package thornferry.security;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** TLS 1.3 contexts from PEM files, by the JDK's provider, and who a peer's certificate names. */
public final class Tls {
    private static final String PROTOCOL = "TLSv1.3";

    /** Whether a server asks its peers for certificates. */
    public enum Clients {
        NONE,
        WANTED,
        NEEDED
    }

    /**
     * @param authorities may be null where peers need no certificate, or where the system's are
     *     meant
     */
    public record Pem(Path certificate, Path key, Path authorities) {}

    private Tls() {}

    /**
     * @throws IOException with a message that names the file
     */
    public static SslContext server(Pem files, Clients clients) throws IOException {
        try {
            SslContextBuilder b =
                    SslContextBuilder.forServer(
                                    readable(files.certificate()).toFile(),
                                    readable(files.key()).toFile())
                            .sslProvider(SslProvider.JDK)
                            .protocols(PROTOCOL);
            if (files.authorities() != null) {
                b.trustManager(readable(files.authorities()).toFile());
            }
            return b.clientAuth(
                            switch (clients) {
                                case NONE -> ClientAuth.NONE;
                                case WANTED -> ClientAuth.OPTIONAL;
                                case NEEDED -> ClientAuth.REQUIRE;
                            })
                    .build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new IOException(
                    "TLS: " + files.certificate() + " and " + files.key() + ": " + cause(e), e);
        }
    }

    /**
     * A client that trusts the authorities; with a certificate of its own where the files name one.
     */
    public static SslContext client(Pem files) throws IOException {
        try {
            SslContextBuilder b =
                    SslContextBuilder.forClient().sslProvider(SslProvider.JDK).protocols(PROTOCOL);
            if (files.authorities() != null) {
                b.trustManager(readable(files.authorities()).toFile());
            }
            if (files.certificate() != null) {
                b.keyManager(
                        readable(files.certificate()).toFile(), readable(files.key()).toFile());
            }
            return b.build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new IOException("TLS: " + files.authorities() + ": " + cause(e), e);
        }
    }

    private static Path readable(Path file) throws IOException {
        if (file == null || !Files.isReadable(file)) {
            throw new IOException("TLS: " + file + ": no such file, or it cannot be read");
        }
        return file;
    }

    private static String cause(Exception e) {
        Throwable deepest = e;
        while (deepest.getCause() != null) {
            deepest = deepest.getCause();
        }
        return deepest.getMessage() == null ? deepest.toString() : deepest.getMessage();
    }

    /**
     * The common name of the peer's certificate, checked against the authorities by the handshake;
     * null for none.
     */
    public static String peer(SSLSession session) {
        try {
            for (Certificate c : session.getPeerCertificates()) {
                return c instanceof X509Certificate x ? commonName(x) : null;
            }
        } catch (SSLPeerUnverifiedException e) {
            // it gave none
        }
        return null;
    }

    static String commonName(X509Certificate certificate) {
        try {
            for (Rdn rdn :
                    new LdapName(certificate.getSubjectX500Principal().getName()).getRdns()) {
                if (rdn.getType().equalsIgnoreCase("CN")) {
                    return rdn.getValue().toString();
                }
            }
        } catch (InvalidNameException e) {
            return null;
        }
        return null;
    }
}
