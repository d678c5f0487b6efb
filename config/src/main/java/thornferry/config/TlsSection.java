package thornferry.config;

import java.nio.file.Files;
import java.nio.file.Path;
import thornferry.config.TomlFile.Section;
import thornferry.placer.Site;
import thornferry.security.Tls;

/** The table {@code [tls]}: none means plain text. Paths are relative to the file they stand in. */
final class TlsSection {
    private TlsSection() {}

    static Site.TlsFiles read(Section root, Path directory) {
        if (!root.has("tls")) {
            return null;
        }
        Section s = root.table("tls");
        Path certificate = path(s, "certificate", directory);
        Path key = path(s, "key", directory);
        Tls.Clients clients =
                s.choice("client-certificates", Tls.Clients.class, Tls.Clients.WANTED);
        Path authorities =
                s.has("authorities") || clients != Tls.Clients.NONE
                        ? path(s, "authorities", directory)
                        : null;
        return new Site.TlsFiles(new Tls.Pem(certificate, key, authorities), clients);
    }

    private static Path path(Section s, String key, Path directory) {
        String text = s.text(key, null);
        Path path = directory.resolve(text);
        if (!text.isEmpty() && !Files.isReadable(path)) {
            s.complain(key, "no such file, or it cannot be read: " + path);
        }
        return path;
    }
}
