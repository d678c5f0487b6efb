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
import java.util.Optional;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/** TLS 1.3 contexts from PEM files, by the JDK's provider, and the identity of a peer. */
public final class Tls {
    private static final String PROTOCOL = "TLSv1.3";
    private static final String COMMON_NAME = "CN";

    /** Whether a server requests certificates from its clients. */
    public enum Clients {
        NONE,
        WANTED,
        NEEDED
    }

    /**
     * The files of one side of a connection.
     *
     * @param certificate of this side; null for a client without one
     * @param key of the certificate; null if that is
     * @param authorities that sign the certificates of peers; null if peers need none, or if the
     *     authorities of the system are meant
     */
    public record Pem(Path certificate, Path key, Path authorities) {}

    private Tls() {}

    /**
     * The context of a server.
     *
     * @throws IOException with a message that names the file that cannot be used
     */
    public static SslContext server(Pem files, Clients clients) throws IOException {
        try {
            SslContextBuilder builder =
                    SslContextBuilder.forServer(
                            readable(files.certificate()).toFile(), readable(files.key()).toFile());
            return configure(builder, files).clientAuth(clientAuth(clients)).build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new IOException(
                    "TLS: " + files.certificate() + " and " + files.key() + ": " + rootCause(e), e);
        }
    }

    /**
     * The context of a client that trusts the authorities, with a certificate of its own if the
     * files name one.
     *
     * @throws IOException with a message that names the file that cannot be used
     */
    public static SslContext client(Pem files) throws IOException {
        try {
            SslContextBuilder builder = configure(SslContextBuilder.forClient(), files);
            if (files.certificate() != null) {
                builder.keyManager(
                        readable(files.certificate()).toFile(), readable(files.key()).toFile());
            }
            return builder.build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new IOException("TLS: " + files.authorities() + ": " + rootCause(e), e);
        }
    }

    private static SslContextBuilder configure(SslContextBuilder builder, Pem files)
            throws IOException {
        builder.sslProvider(SslProvider.JDK).protocols(PROTOCOL);
        if (files.authorities() != null) {
            builder.trustManager(readable(files.authorities()).toFile());
        }
        return builder;
    }

    private static ClientAuth clientAuth(Clients clients) {
        return switch (clients) {
            case NONE -> ClientAuth.NONE;
            case WANTED -> ClientAuth.OPTIONAL;
            case NEEDED -> ClientAuth.REQUIRE;
        };
    }

    private static Path readable(Path file) throws IOException {
        if (file == null || !Files.isReadable(file)) {
            throw new IOException("TLS: " + file + ": no such file, or it cannot be read");
        }
        return file;
    }

    private static String rootCause(Exception exception) {
        Throwable root = exception;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        return root.getMessage() == null ? root.toString() : root.getMessage();
    }

    /**
     * The common name of the peer's certificate, which the handshake has verified against the
     * authorities.
     *
     * @return null if the peer has presented no certificate, or one without a common name
     */
    public static String peer(SSLSession session) {
        try {
            Certificate[] chain = session.getPeerCertificates();
            return chain.length > 0 && chain[0] instanceof X509Certificate certificate
                    ? commonName(certificate).orElse(null)
                    : null;
        } catch (SSLPeerUnverifiedException e) {
            return null; // the peer has presented no certificate
        }
    }

    private static Optional<String> commonName(X509Certificate certificate) {
        try {
            LdapName subject = new LdapName(certificate.getSubjectX500Principal().getName());
            return subject.getRdns().stream()
                    .filter(rdn -> rdn.getType().equalsIgnoreCase(COMMON_NAME))
                    .map(Rdn::getValue)
                    .map(Object::toString)
                    .findFirst();
        } catch (InvalidNameException e) {
            return Optional.empty();
        }
    }
}
