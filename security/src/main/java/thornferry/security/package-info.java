/**
 * Passcode hashes, certificates and TLS.
 *
 * <p>{@link thornferry.security.Passcodes} hashes and checks passcodes. {@link
 * thornferry.security.Keys} is the certificate authority of a site: {@code CertificateSigner}
 * builds and signs its certificates, {@code KeyFiles} stores them in a directory, and {@code
 * PemCodec} encodes and decodes the files. {@link thornferry.security.Tls} creates the TLS contexts
 * of connections from such files.
 */
package thornferry.security;
