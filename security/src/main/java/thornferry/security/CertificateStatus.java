package thornferry.security;

import java.time.Duration;
import java.time.Instant;

/**
 * The present state of one certificate.
 *
 * @param name stem of its file names
 * @param use what it is for, or {@code unknown} if it does not say so
 * @param notBefore when it becomes valid
 * @param notAfter when it expires
 * @param left time until it expires; negative if it has expired
 * @param signedByAuthority whether the present authority has signed it
 */
public record CertificateStatus(
        String name,
        String use,
        Instant notBefore,
        Instant notAfter,
        Duration left,
        boolean signedByAuthority) {
    /** Whether the certificate has expired. */
    public boolean isExpired() {
        return left.isNegative();
    }

    /** Whether the certificate has expired, or does so within the given time. */
    public boolean expiresWithin(Duration time) {
        return left.compareTo(time) < 0;
    }
}
