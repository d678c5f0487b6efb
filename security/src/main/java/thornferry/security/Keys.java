package thornferry.security;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
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
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509ExtensionUtils;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.PEMKeyPair;
import org.bouncycastle.openssl.PEMParser;
import org.bouncycastle.openssl.jcajce.JcaPEMKeyConverter;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * A site's certificates in one directory: {@code ca.pem} and {@code ca.key}, and {@code NAME.pem}
 * and {@code NAME.key} for each server, agent, owner and operator. Keys are P-256, unencrypted PKCS
 * 8, readable by their user alone. A file is written whole and then moved into place, so that one
 * who reloads never reads half of it.
 */
public final class Keys {
    /** What a certificate is for; peers are known by the common name, their login. */
    public enum Use {
        AUTHORITY,
        SERVER,
        AGENT,
        OWNER,
        OPERATOR
    }

    /** One certificate as it stands. {@code left} is negative where it has expired. */
    public record Entry(
            String name,
            String use,
            Instant from,
            Instant until,
            Duration left,
            boolean oursStill) {}

    private static final String CA = "ca";

    /** Clocks of a site's machines may differ by so much. */
    private static final Duration SKEW = Duration.ofMinutes(5);

    private final Path directory;

    public Keys(Path directory) {
        this.directory = directory;
    }

    /** The file of a certificate. */
    public Path certificate(String name) {
        return directory.resolve(name + ".pem");
    }

    /** The file of a private key. */
    public Path key(String name) {
        return directory.resolve(name + ".key");
    }

    /** The file of the authority's certificate. */
    public Path authority() {
        return certificate(CA);
    }

    /** Makes the site's authority. @throws IOException where there is one already */
    public void init(String site, Duration validFor) throws IOException {
        if (Files.exists(authority())) {
            throw new IOException(
                    authority()
                            + ": there is an authority already; its certificates would be void");
        }
        Files.createDirectories(directory);
        KeyPair pair = pair();
        X500Name name = name(site + " authority", Use.AUTHORITY);
        write(
                CA,
                pair.getPrivate(),
                build(
                        name,
                        name,
                        pair,
                        pair.getPrivate(),
                        Use.AUTHORITY,
                        List.of(),
                        Instant.now().minus(SKEW),
                        validFor));
    }

    /**
     * Makes, or renews, a certificate signed by the site's authority; a renewed one keeps its key.
     *
     * @param hosts names and addresses of a server; unused for others
     */
    public void issue(String name, Use use, List<String> hosts, Duration validFor)
            throws IOException {
        issue(name, use, hosts, Instant.now().minus(SKEW), validFor);
    }

    /** The same, good only from a time on. */
    public void issue(String name, Use use, List<String> hosts, Instant from, Duration validFor)
            throws IOException {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || name.equals(CA)) {
            throw new IOException(
                    name
                            + ": a name has 1 to 64 letters, digits, dots, hyphens or underscores,"
                            + " and is not ca");
        }
        X509Certificate authority = read(CA);
        KeyPair pair =
                Files.exists(key(name))
                        ? new KeyPair(read(name).getPublicKey(), readKey(name))
                        : pair();
        X500Name issuer = new X509CertificateHolder(encoded(authority)).getSubject();
        write(
                name,
                pair.getPrivate(),
                build(issuer, name(name, use), pair, readKey(CA), use, hosts, from, validFor));
    }

    /** The same for as long as before, with the same use and hosts. */
    public void renew(String name) throws IOException {
        X509Certificate old = read(name);
        Duration life =
                Duration.between(
                        old.getNotBefore().toInstant().plus(SKEW), old.getNotAfter().toInstant());
        List<String> hosts = new ArrayList<>();
        try {
            if (old.getSubjectAlternativeNames() != null) {
                old.getSubjectAlternativeNames().forEach(n -> hosts.add(String.valueOf(n.get(1))));
            }
        } catch (GeneralSecurityException e) {
            throw new IOException(certificate(name) + ": " + e.getMessage(), e);
        }
        issue(name, Use.valueOf(use(old).toUpperCase(java.util.Locale.ROOT)), hosts, life);
    }

    /** All certificates of the directory, the authority first. */
    public List<Entry> list() throws IOException {
        X509Certificate authority = read(CA);
        List<Entry> entries = new ArrayList<>();
        List<Path> files;
        try (var all = Files.list(directory)) {
            files =
                    all.filter(f -> f.toString().endsWith(".pem"))
                            .sorted(
                                    (a, b) ->
                                            a.equals(authority())
                                                    ? -1
                                                    : b.equals(authority()) ? 1 : a.compareTo(b))
                            .toList();
        }
        for (Path file : files) {
            String name = file.getFileName().toString().replaceAll("\\.pem$", "");
            X509Certificate c = read(name);
            boolean ours;
            try {
                c.verify(authority.getPublicKey());
                ours = true;
            } catch (GeneralSecurityException e) {
                ours = false;
            }
            entries.add(
                    new Entry(
                            name,
                            use(c),
                            c.getNotBefore().toInstant(),
                            c.getNotAfter().toInstant(),
                            Duration.between(Instant.now(), c.getNotAfter().toInstant()),
                            ours));
        }
        return entries;
    }

    private static String use(X509Certificate c) {
        for (String part : c.getSubjectX500Principal().getName().split(",")) {
            if (part.startsWith("OU=")) {
                return part.substring(3);
            }
        }
        return "unknown";
    }

    private static X500Name name(String commonName, Use use) {
        return new X500NameBuilder(BCStyle.INSTANCE)
                .addRDN(BCStyle.OU, use.name().toLowerCase(java.util.Locale.ROOT))
                .addRDN(BCStyle.CN, commonName)
                .build();
    }

    private static KeyPair pair() throws IOException {
        try {
            KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
            generator.initialize(new ECGenParameterSpec("secp256r1"));
            return generator.generateKeyPair();
        } catch (GeneralSecurityException e) {
            throw new IOException("no key could be made: " + e.getMessage(), e);
        }
    }

    private static X509Certificate build(
            X500Name issuer,
            X500Name subject,
            KeyPair pair,
            PrivateKey signer,
            Use use,
            List<String> hosts,
            Instant from,
            Duration validFor)
            throws IOException {
        try {
            JcaX509ExtensionUtils utils = new JcaX509ExtensionUtils();
            JcaX509v3CertificateBuilder b =
                    new JcaX509v3CertificateBuilder(
                            issuer,
                            new BigInteger(159, new SecureRandom()),
                            Date.from(from),
                            Date.from(from.plus(SKEW).plus(validFor)),
                            subject,
                            pair.getPublic());
            b.addExtension(
                    Extension.subjectKeyIdentifier,
                    false,
                    utils.createSubjectKeyIdentifier(pair.getPublic()));
            b.addExtension(
                    Extension.basicConstraints, true, new BasicConstraints(use == Use.AUTHORITY));
            if (use == Use.AUTHORITY) {
                b.addExtension(
                        Extension.keyUsage,
                        true,
                        new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
            } else {
                b.addExtension(Extension.keyUsage, true, new KeyUsage(KeyUsage.digitalSignature));
                b.addExtension(
                        Extension.extendedKeyUsage,
                        false,
                        new ExtendedKeyUsage(
                                use == Use.SERVER
                                        ? KeyPurposeId.id_kp_serverAuth
                                        : KeyPurposeId.id_kp_clientAuth));
            }
            if (use == Use.SERVER) {
                GeneralName[] names =
                        hosts.stream()
                                .map(
                                        h ->
                                                new GeneralName(
                                                        address(h)
                                                                ? GeneralName.iPAddress
                                                                : GeneralName.dNSName,
                                                        h))
                                .toArray(GeneralName[]::new);
                b.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(names));
            }
            return new JcaX509CertificateConverter()
                    .getCertificate(
                            b.build(new JcaContentSignerBuilder("SHA256withECDSA").build(signer)));
        } catch (GeneralSecurityException | OperatorCreationException e) {
            throw new IOException("no certificate could be made: " + e.getMessage(), e);
        }
    }

    private static boolean address(String host) {
        try {
            return host.matches("[0-9.]+|.*:.*") && InetAddress.getByName(host) != null;
        } catch (java.net.UnknownHostException e) {
            return false;
        }
    }

    private static byte[] encoded(X509Certificate c) throws IOException {
        try {
            return c.getEncoded();
        } catch (GeneralSecurityException e) {
            throw new IOException(e);
        }
    }

    private Object parse(Path file) throws IOException {
        if (!Files.isReadable(file)) {
            throw new IOException(
                    file
                            + ": no such file, or it cannot be read"
                            + (file.equals(authority()) ? "; make an authority first" : ""));
        }
        try (PEMParser parser = new PEMParser(Files.newBufferedReader(file))) {
            Object got = parser.readObject();
            if (got == null) {
                throw new IOException(file + ": not PEM");
            }
            return got;
        }
    }

    private X509Certificate read(String name) throws IOException {
        if (!(parse(certificate(name)) instanceof X509CertificateHolder holder)) {
            throw new IOException(certificate(name) + ": not a certificate");
        }
        try {
            return new JcaX509CertificateConverter().getCertificate(holder);
        } catch (GeneralSecurityException e) {
            throw new IOException(certificate(name) + ": " + e.getMessage(), e);
        }
    }

    private PrivateKey readKey(String name) throws IOException {
        Object got = parse(key(name));
        JcaPEMKeyConverter converter = new JcaPEMKeyConverter();
        if (got instanceof PEMKeyPair pair) {
            return converter.getPrivateKey(pair.getPrivateKeyInfo());
        } else if (got instanceof org.bouncycastle.asn1.pkcs.PrivateKeyInfo info) {
            return converter.getPrivateKey(info);
        }
        throw new IOException(key(name) + ": not a private key");
    }

    private void write(String name, PrivateKey key, X509Certificate certificate)
            throws IOException {
        StringWriter keyText = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(keyText)) {
            pem.writeObject(new JcaPKCS8Generator(key, null));
        }
        StringWriter certificateText = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(certificateText)) {
            pem.writeObject(certificate);
        }
        replace(key(name), keyText.toString(), true);
        replace(certificate(name), certificateText.toString(), false);
    }

    private static void replace(Path file, String text, boolean secret) throws IOException {
        Path part = file.resolveSibling(file.getFileName() + ".part");
        Files.deleteIfExists(part);
        if (secret && file.getFileSystem().supportedFileAttributeViews().contains("posix")) {
            Files.createFile(
                    part,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString("rw-------")));
        }
        Files.write(part, text.getBytes(StandardCharsets.UTF_8));
        Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
