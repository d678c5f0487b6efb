package thornferry.security;

import java.time.Duration;
import java.time.Instant;

/**
 * The current state of one certificate.
 *
 * @param name the stem of the certificate's file names
 * @param use the purpose of the certificate; {@code unknown} if the certificate does not state one
 * @param notBefore the time from which the certificate is valid
 * @param notAfter the time at which the certificate expires
 * @param remainingValidity the time until the certificate expires; negative if it has expired
 * @param signedByAuthority whether the current authority signed the certificate
 */
public record CertificateStatus(
        String name,
        String use,
        Instant notBefore,
        Instant notAfter,
        Duration remainingValidity,
        boolean signedByAuthority) {
    /** Returns whether the certificate has expired. */
    public boolean isExpired() {
        return remainingValidity.isNegative();
    }

    /** Returns whether the certificate has expired or will expire within a given time. */
    public boolean expiresWithin(Duration time) {
        return remainingValidity.compareTo(time) < 0;
    }
}
