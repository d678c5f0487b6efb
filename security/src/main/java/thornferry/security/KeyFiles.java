package thornferry.security;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.security.PrivateKey;
import java.security.cert.X509Certificate;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The files of certificates and private keys in one directory. Files are replaced atomically, so
 * that a process that reloads them never reads a partially written file.
 */
final class KeyFiles {
    /** The stem of the file names of the authority's certificate and key. */
    static final String AUTHORITY = "ca";

    private static final String CERTIFICATE_SUFFIX = ".pem";
    private static final String KEY_SUFFIX = ".key";
    private static final String PARTIAL_SUFFIX = ".part";
    private static final String POSIX_VIEW = "posix";
    private static final String OWNER_ONLY_PERMISSIONS = "rw-------";

    private final Path directory;

    KeyFiles(Path directory) {
        this.directory = directory;
    }

    Path certificateFile(String name) {
        return directory.resolve(name + CERTIFICATE_SUFFIX);
    }

    Path keyFile(String name) {
        return directory.resolve(name + KEY_SUFFIX);
    }

    boolean hasAuthority() {
        return Files.exists(certificateFile(AUTHORITY));
    }

    boolean hasKey(String name) {
        return Files.exists(keyFile(name));
    }

    void createDirectory() throws IOException {
        Files.createDirectories(directory);
    }

    /** Returns the names of all certificates: the authority's first, the others in order. */
    List<String> names() throws IOException {
        Path authority = certificateFile(AUTHORITY);
        Comparator<Path> authorityFirst =
                Comparator.comparing((Path file) -> !file.equals(authority))
                        .thenComparing(Comparator.naturalOrder());
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(file -> file.toString().endsWith(CERTIFICATE_SUFFIX))
                    .sorted(authorityFirst)
                    .map(KeyFiles::certificateName)
                    .toList();
        }
    }

    private static String certificateName(Path certificate) {
        String fileName = certificate.getFileName().toString();
        return fileName.substring(0, fileName.length() - CERTIFICATE_SUFFIX.length());
    }

    X509Certificate readCertificate(String name) throws IOException {
        return PemCodec.readCertificate(requireReadable(certificateFile(name)));
    }

    PrivateKey readKey(String name) throws IOException {
        return PemCodec.readPrivateKey(requireReadable(keyFile(name)));
    }

    KeyPair readKeyPair(String name) throws IOException {
        return new KeyPair(readCertificate(name).getPublicKey(), readKey(name));
    }

    private Path requireReadable(Path file) throws KeyFileException {
        if (!Files.isReadable(file)) {
            boolean isAuthority = file.equals(certificateFile(AUTHORITY));
            throw new KeyFileException.Unreadable(
                    file, isAuthority ? "; create an authority first" : "");
        }
        return file;
    }

    /** Writes a certificate and its private key; only the owner of the file may read the key. */
    void write(String name, PrivateKey key, X509Certificate certificate) throws IOException {
        String keyText = PemCodec.encode(key);
        String certificateText = PemCodec.encode(certificate);
        replace(keyFile(name), keyText, true);
        replace(certificateFile(name), certificateText, false);
    }

    private static void replace(Path file, String text, boolean ownerOnly) throws IOException {
        Path partial = file.resolveSibling(file.getFileName() + PARTIAL_SUFFIX);
        Files.deleteIfExists(partial);
        if (ownerOnly) {
            createOwnerOnly(partial);
        }
        Files.write(partial, text.getBytes(StandardCharsets.UTF_8));
        Files.move(
                partial, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Creates an empty file that only its owner may read, where the file system supports that. */
    private static void createOwnerOnly(Path file) throws IOException {
        if (file.getFileSystem().supportedFileAttributeViews().contains(POSIX_VIEW)) {
            Files.createFile(
                    file,
                    PosixFilePermissions.asFileAttribute(
                            PosixFilePermissions.fromString(OWNER_ONLY_PERMISSIONS)));
        }
    }
}
