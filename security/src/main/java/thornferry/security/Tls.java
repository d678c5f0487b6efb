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

/**
 * Creates TLS 1.3 contexts of the JDK's provider from PEM files, and reads the identity of a peer
 * from its certificate.
 */
public final class Tls {
    private static final String PROTOCOL = "TLSv1.3";
    private static final String COMMON_NAME = "CN";

    /** The ways in which a server authenticates its clients by certificate. */
    public enum Clients {
        /** The server requests no certificate. */
        NONE,
        /** The server requests a certificate, but accepts clients without one. */
        WANTED,
        /** The server accepts only clients with a certificate. */
        NEEDED
    }

    /**
     * The PEM files that one side of a connection uses.
     *
     * @param certificate the certificate of this side; null for a client without one
     * @param key the private key of the certificate; null without a certificate
     * @param authorities the certificates of the authorities that are trusted to sign the
     *     certificates of peers; null for the default authorities of the system, or if peers need
     *     no certificate
     */
    public record Pem(Path certificate, Path key, Path authorities) {}

    private Tls() {}

    /**
     * Returns the context of a server.
     *
     * @throws IOException if a file cannot be used; the message contains its path
     */
    public static SslContext serverContext(Pem files, Clients clients) throws IOException {
        try {
            SslContextBuilder builder =
                    SslContextBuilder.forServer(
                            requireReadable(files.certificate()).toFile(),
                            requireReadable(files.key()).toFile());
            return configure(builder, files).clientAuth(clientAuth(clients)).build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new IOException(
                    "TLS: " + files.certificate() + " and " + files.key() + ": " + rootCause(e), e);
        }
    }

    /**
     * Returns the context of a client that trusts the authorities, and that presents a certificate
     * if the files include one.
     *
     * @throws IOException if a file cannot be used; the message contains the path of the file or of
     *     the authorities
     */
    public static SslContext clientContext(Pem files) throws IOException {
        try {
            SslContextBuilder builder = configure(SslContextBuilder.forClient(), files);
            if (files.certificate() != null) {
                builder.keyManager(
                        requireReadable(files.certificate()).toFile(),
                        requireReadable(files.key()).toFile());
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
            builder.trustManager(requireReadable(files.authorities()).toFile());
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

    private static Path requireReadable(Path file) throws IOException {
        if (file == null || !Files.isReadable(file)) {
            throw new IOException("TLS: " + file + ": the file does not exist or cannot be read");
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
     * Returns the common name of the peer's certificate, which the handshake has verified against
     * the authorities.
     *
     * @return null if the peer has presented no certificate, or one without a common name
     */
    public static String peerCommonName(SSLSession session) {
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
