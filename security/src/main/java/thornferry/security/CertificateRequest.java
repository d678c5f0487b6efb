package thornferry.security;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The contents of a certificate that the authority is to sign.
 *
 * @param name common name of the certificate and stem of its file names
 * @param use the purpose of the certificate
 * @param hosts DNS names and IP addresses of a server; ignored for other uses
 * @param notBefore the time from which the certificate is valid
 * @param validFor the period of validity, which begins {@link CertificateSigner#MAX_CLOCK_SKEW}
 *     after {@code notBefore}
 */
public record CertificateRequest(
        String name, Keys.Use use, List<String> hosts, Instant notBefore, Duration validFor) {
    private static final Pattern VALID_NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    public CertificateRequest {
        hosts = List.copyOf(hosts);
    }

    /**
     * Returns a request for a certificate that is valid from now on. Its start is set back by the
     * maximum clock skew, so that machines whose clock lags accept it too.
     */
    public static CertificateRequest validNow(
            String name, Keys.Use use, List<String> hosts, Duration validFor) {
        return new CertificateRequest(
                name, use, hosts, Instant.now().minus(CertificateSigner.MAX_CLOCK_SKEW), validFor);
    }

    void checkName() throws KeyFileException.InvalidName {
        if (!VALID_NAME.matcher(name).matches() || name.equals(KeyFiles.AUTHORITY)) {
            throw new KeyFileException.InvalidName(name);
        }
    }
}
