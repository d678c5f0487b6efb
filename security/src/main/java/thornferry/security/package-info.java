/**
 * Passcode hashes (Argon2id, bcrypt), a site's certificate authority and certificates, and TLS
 * contexts.
 */
package thornferry.security;
