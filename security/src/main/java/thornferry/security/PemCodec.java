package thornferry.security;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import org.bouncycastle.asn1.pkcs.PrivateKeyInfo;
import org.bouncycastle.cert.X509CertificateHolder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.openssl.PEMKeyPair;
import org.bouncycastle.openssl.PEMParser;
import org.bouncycastle.openssl.jcajce.JcaPEMKeyConverter;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;

/**
 * Encodes certificates and private keys as PEM, and reads PEM files. Keys are written as
 * unencrypted PKCS #8.
 */
final class PemCodec {
    private PemCodec() {}

    static String encode(X509Certificate certificate) throws IOException {
        return encodeObject(certificate);
    }

    static String encode(PrivateKey key) throws IOException {
        return encodeObject(new JcaPKCS8Generator(key, null));
    }

    private static String encodeObject(Object object) throws IOException {
        StringWriter text = new StringWriter();
        try (JcaPEMWriter writer = new JcaPEMWriter(text)) {
            writer.writeObject(object);
        }
        return text.toString();
    }

    static X509Certificate readCertificate(Path file) throws IOException {
        if (!(readObject(file) instanceof X509CertificateHolder holder)) {
            throw new KeyFileException.InvalidContent(
                    file, "the file does not contain a certificate");
        }
        try {
            return new JcaX509CertificateConverter().getCertificate(holder);
        } catch (GeneralSecurityException e) {
            throw new KeyFileException.InvalidContent(file, e);
        }
    }

    /** Reads a private key in the format of PKCS #8 or the traditional format of OpenSSL. */
    static PrivateKey readPrivateKey(Path file) throws IOException {
        Object object = readObject(file);
        JcaPEMKeyConverter converter = new JcaPEMKeyConverter();
        if (object instanceof PEMKeyPair pair) {
            return converter.getPrivateKey(pair.getPrivateKeyInfo());
        }
        if (object instanceof PrivateKeyInfo key) {
            return converter.getPrivateKey(key);
        }
        throw new KeyFileException.InvalidContent(file, "the file does not contain a private key");
    }

    private static Object readObject(Path file) throws IOException {
        try (PEMParser parser = new PEMParser(Files.newBufferedReader(file))) {
            Object object = parser.readObject();
            if (object == null) {
                throw new KeyFileException.InvalidContent(file, "the file is not in PEM format");
            }
            return object;
        }
    }
}
