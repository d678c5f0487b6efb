/**
 * Passcodes, certificates and TLS.
 *
 * <p>{@link thornferry.security.Passcodes} hashes and checks passcodes. {@link
 * thornferry.security.Keys} is the certificate authority of a site: {@code CertificateSigner}
 * builds its certificates, {@code KeyFiles} keeps them in a directory, and {@code PemCodec} is
 * their format. {@link thornferry.security.Tls} makes the contexts of connections from such files.
 */
package thornferry.security;
