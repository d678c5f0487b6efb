package thornferry.security;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.cert.CertificateParsingException;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;

/**
 * The certificate authority of a site and the certificates that it has signed, in one directory.
 * The directory contains {@code ca.pem} and {@code ca.key} of the authority, and {@code NAME.pem}
 * and {@code NAME.key} of each server, agent, owner and operator. Keys use the curve P-256, and
 * only the owner of a key file may read it.
 */
public final class Keys {
    /**
     * The purpose of a certificate. The common name of a peer's certificate is the peer's login.
     */
    public enum Use {
        AUTHORITY,
        SERVER,
        AGENT,
        OWNER,
        OPERATOR
    }

    private static final String UNKNOWN_USE = "unknown";
    private static final String ORGANIZATIONAL_UNIT = "OU=";

    /** The index of the value in an entry of {@link X509Certificate#getSubjectAlternativeNames}. */
    private static final int ALTERNATIVE_NAME_VALUE = 1;

    private final KeyFiles files;

    public Keys(Path directory) {
        files = new KeyFiles(directory);
    }

    /** Returns the path of a certificate. */
    public Path certificate(String name) {
        return files.certificateFile(name);
    }

    /** Returns the path of a private key. */
    public Path key(String name) {
        return files.keyFile(name);
    }

    /** Returns the path of the authority's certificate. */
    public Path authority() {
        return certificate(KeyFiles.AUTHORITY);
    }

    /**
     * Creates the authority of a site.
     *
     * @param site the name of the site, which becomes part of the authority's common name
     * @throws IOException if the authority already exists, or its files cannot be written
     */
    public void init(String site, Duration validFor) throws IOException {
        if (files.hasAuthority()) {
            throw new KeyFileException.AuthorityExists(authority());
        }
        files.createDirectory();
        KeyPair keyPair = CertificateSigner.generateKeyPair();
        CertificateRequest request =
                CertificateRequest.validNow(
                        site + " authority", Use.AUTHORITY, List.of(), validFor);
        files.write(
                KeyFiles.AUTHORITY,
                keyPair.getPrivate(),
                CertificateSigner.selfSign(request, keyPair));
    }

    /**
     * Issues a certificate that is valid from now on.
     *
     * @param hosts DNS names and IP addresses of a server; ignored for other uses
     * @throws IOException as {@link #issue(CertificateRequest)}
     */
    public void issue(String name, Use use, List<String> hosts, Duration validFor)
            throws IOException {
        issue(CertificateRequest.validNow(name, use, hosts, validFor));
    }

    /**
     * Issues a certificate that is valid from a given time on.
     *
     * @throws IOException as {@link #issue(CertificateRequest)}
     */
    public void issue(
            String name, Use use, List<String> hosts, Instant notBefore, Duration validFor)
            throws IOException {
        issue(new CertificateRequest(name, use, hosts, notBefore, validFor));
    }

    /**
     * Issues a certificate signed by the site's authority. An existing certificate of the same name
     * is replaced, and its key is retained.
     *
     * @throws IOException if the name is invalid, the authority does not exist, or a file cannot be
     *     read or written
     */
    public void issue(CertificateRequest request) throws IOException {
        request.checkName();
        X509Certificate authority = files.readCertificate(KeyFiles.AUTHORITY);
        KeyPair keyPair =
                files.hasKey(request.name())
                        ? files.readKeyPair(request.name())
                        : CertificateSigner.generateKeyPair();
        CertificateSigner signer =
                CertificateSigner.of(authority, files.readKey(KeyFiles.AUTHORITY));
        files.write(
                request.name(), keyPair.getPrivate(), signer.sign(request, keyPair.getPublic()));
    }

    /**
     * Issues a certificate again, from now on, with the same key, use, hosts and period of
     * validity.
     *
     * @throws IOException as {@link #issue(CertificateRequest)}
     */
    public void renew(String name) throws IOException {
        X509Certificate current = files.readCertificate(name);
        Instant validFrom =
                current.getNotBefore().toInstant().plus(CertificateSigner.MAX_CLOCK_SKEW);
        Duration validFor = Duration.between(validFrom, current.getNotAfter().toInstant());
        List<String> hosts = hosts(name, current);
        Use use = Use.valueOf(use(current).toUpperCase(Locale.ROOT));
        issue(CertificateRequest.validNow(name, use, hosts, validFor));
    }

    private List<String> hosts(String name, X509Certificate certificate) throws KeyFileException {
        try {
            Collection<List<?>> alternativeNames = certificate.getSubjectAlternativeNames();
            if (alternativeNames == null) {
                return List.of();
            }
            return alternativeNames.stream()
                    .map(entry -> String.valueOf(entry.get(ALTERNATIVE_NAME_VALUE)))
                    .toList();
        } catch (CertificateParsingException e) {
            throw new KeyFileException.InvalidContent(certificate(name), e);
        }
    }

    /**
     * Returns the states of all certificates in the directory, the authority's first.
     *
     * @throws IOException if a certificate cannot be read
     */
    public List<CertificateStatus> list() throws IOException {
        X509Certificate authority = files.readCertificate(KeyFiles.AUTHORITY);
        List<CertificateStatus> statuses = new ArrayList<>();
        for (String name : files.names()) {
            statuses.add(status(name, files.readCertificate(name), authority));
        }
        return statuses;
    }

    private static CertificateStatus status(
            String name, X509Certificate certificate, X509Certificate authority) {
        Instant notAfter = certificate.getNotAfter().toInstant();
        return new CertificateStatus(
                name,
                use(certificate),
                certificate.getNotBefore().toInstant(),
                notAfter,
                Duration.between(Instant.now(), notAfter),
                isSignedBy(authority, certificate));
    }

    private static boolean isSignedBy(X509Certificate authority, X509Certificate certificate) {
        try {
            certificate.verify(authority.getPublicKey());
            return true;
        } catch (GeneralSecurityException e) {
            return false;
        }
    }

    private static String use(X509Certificate certificate) {
        String[] subject = certificate.getSubjectX500Principal().getName().split(",", -1);
        for (String attribute : subject) {
            if (attribute.startsWith(ORGANIZATIONAL_UNIT)) {
                return attribute.substring(ORGANIZATIONAL_UNIT.length());
            }
        }
        return UNKNOWN_USE;
    }
}
