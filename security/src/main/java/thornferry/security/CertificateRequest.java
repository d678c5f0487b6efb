package thornferry.security;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A request for a certificate that the authority signs.
 *
 * @param name common name of the certificate and stem of its file names
 * @param use what the certificate is for
 * @param hosts DNS names and IP addresses of a server; unused for the other uses
 * @param notBefore when the certificate becomes valid
 * @param validFor how long it is valid, counted from the end of the allowed clock skew
 */
public record CertificateRequest(
        String name, Keys.Use use, List<String> hosts, Instant notBefore, Duration validFor) {
    private static final Pattern VALID_NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    public CertificateRequest {
        hosts = List.copyOf(hosts);
    }

    /** A request for a certificate that is valid from now on, also on machines whose clock lags. */
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
