package thornferry.security;

import java.io.IOException;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x500.X500NameBuilder;
import org.bouncycastle.asn1.x500.style.BCStyle;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509ExtensionUtils;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** Builds X.509 certificates and signs them with the key of one authority. */
final class CertificateSigner {
    /** The maximum difference allowed between the clocks of a site's machines. */
    static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(5);

    private static final String KEY_ALGORITHM = "EC";
    private static final String CURVE = "secp256r1";
    private static final String SIGNATURE_ALGORITHM = "SHA256withECDSA";
    private static final int SERIAL_NUMBER_BITS = 159;
    private static final Pattern IP_ADDRESS_LIKE = Pattern.compile("[0-9.]+|.*:.*");

    private final X500Name issuer;
    private final PrivateKey issuerKey;

    private CertificateSigner(X500Name issuer, PrivateKey issuerKey) {
        this.issuer = issuer;
        this.issuerKey = issuerKey;
    }

    /** Returns a signer that issues certificates of an authority. */
    static CertificateSigner of(X509Certificate authority, PrivateKey authorityKey)
            throws IOException {
        try {
            return new CertificateSigner(
                    new JcaX509CertificateHolder(authority).getSubject(), authorityKey);
        } catch (GeneralSecurityException e) {
            throw new IOException(e);
        }
    }

    /** Builds the certificate of a new authority, signed with its own key. */
    static X509Certificate selfSign(CertificateRequest request, KeyPair keyPair)
            throws IOException {
        CertificateSigner signer = new CertificateSigner(subject(request), keyPair.getPrivate());
        return signer.sign(request, keyPair.getPublic());
    }

    static KeyPair generateKeyPair() throws IOException {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance(KEY_ALGORITHM);
            generator.initialize(new ECGenParameterSpec(CURVE));
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new KeyFileException.GenerationFailed("key", e);
        }
    }

    X509Certificate sign(CertificateRequest request, PublicKey publicKey) throws IOException {
        try {
            X509v3CertificateBuilder builder = createBuilder(request, publicKey);
            addExtensions(builder, request, publicKey);
            return new JcaX509CertificateConverter()
                    .getCertificate(
                            builder.build(
                                    new JcaContentSignerBuilder(SIGNATURE_ALGORITHM)
                                            .build(issuerKey)));
        } catch (GeneralSecurityException | OperatorCreationException e) {
            throw new KeyFileException.GenerationFailed("certificate", e);
        }
    }

    private X509v3CertificateBuilder createBuilder(
            CertificateRequest request, PublicKey publicKey) {
        Instant notAfter = request.notBefore().plus(MAX_CLOCK_SKEW).plus(request.validFor());
        return new JcaX509v3CertificateBuilder(
                issuer,
                new BigInteger(SERIAL_NUMBER_BITS, new SecureRandom()),
                Date.from(request.notBefore()),
                Date.from(notAfter),
                subject(request),
                publicKey);
    }

    private static X500Name subject(CertificateRequest request) {
        return new X500NameBuilder(BCStyle.INSTANCE)
                .addRDN(BCStyle.OU, request.use().name().toLowerCase(Locale.ROOT))
                .addRDN(BCStyle.CN, request.name())
                .build();
    }

    private static void addExtensions(
            X509v3CertificateBuilder builder, CertificateRequest request, PublicKey publicKey)
            throws GeneralSecurityException, IOException {
        boolean isAuthority = request.use() == Keys.Use.AUTHORITY;
        builder.addExtension(
                Extension.subjectKeyIdentifier,
                false,
                new JcaX509ExtensionUtils().createSubjectKeyIdentifier(publicKey));
        builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(isAuthority));
        builder.addExtension(Extension.keyUsage, true, keyUsage(isAuthority));
        if (!isAuthority) {
            builder.addExtension(
                    Extension.extendedKeyUsage, false, extendedKeyUsage(request.use()));
        }
        if (request.use() == Keys.Use.SERVER) {
            builder.addExtension(
                    Extension.subjectAlternativeName, false, alternativeNames(request.hosts()));
        }
    }

    private static KeyUsage keyUsage(boolean isAuthority) {
        return new KeyUsage(
                isAuthority ? KeyUsage.keyCertSign | KeyUsage.cRLSign : KeyUsage.digitalSignature);
    }

    private static ExtendedKeyUsage extendedKeyUsage(Keys.Use use) {
        return new ExtendedKeyUsage(
                use == Keys.Use.SERVER
                        ? KeyPurposeId.id_kp_serverAuth
                        : KeyPurposeId.id_kp_clientAuth);
    }

    private static GeneralNames alternativeNames(List<String> hosts) {
        return new GeneralNames(
                hosts.stream().map(CertificateSigner::alternativeName).toArray(GeneralName[]::new));
    }

    private static GeneralName alternativeName(String host) {
        return new GeneralName(
                isIpAddress(host) ? GeneralName.iPAddress : GeneralName.dNSName, host);
    }

    private static boolean isIpAddress(String host) {
        try {
            return IP_ADDRESS_LIKE.matcher(host).matches() && InetAddress.getByName(host) != null;
        } catch (UnknownHostException e) {
            return false;
        }
    }
}
