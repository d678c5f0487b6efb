package thornferry.config;

import static java.util.Map.entry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import thornferry.config.TomlFile.Section;
import thornferry.placer.Site;
import thornferry.security.Tls;

/**
 * The table {@code [tls]}. Without it, connections are plain text. Paths are relative to the folder
 * of the configuration file.
 */
final class TlsSection {
    private static final Map<String, Tls.Clients> CLIENT_CERTIFICATES =
            NamedValues.of(
                    entry("none", Tls.Clients.NONE),
                    entry("wanted", Tls.Clients.WANTED),
                    entry("needed", Tls.Clients.NEEDED));

    private TlsSection() {}

    /**
     * Reads the table.
     *
     * @param directory directory to which paths are relative
     * @return the files, or null if the table is absent, as {@link Site#tls} defines
     */
    static Site.TlsFiles read(Section root, Path directory) {
        if (!root.has("tls")) {
            return null;
        }
        Section section = root.table("tls");
        Path certificate = readablePath(section, "certificate", directory);
        Path key = readablePath(section, "key", directory);
        Tls.Clients clients =
                section.choice("client-certificates", CLIENT_CERTIFICATES, Tls.Clients.WANTED);
        boolean needsAuthorities = section.has("authorities") || clients != Tls.Clients.NONE;
        Path authorities =
                needsAuthorities ? readablePath(section, "authorities", directory) : null;
        return new Site.TlsFiles(new Tls.Pem(certificate, key, authorities), clients);
    }

    private static Path readablePath(Section section, String key, Path directory) {
        String text = section.requiredText(key);
        Path path = directory.resolve(text);
        if (!text.isEmpty() && !Files.isReadable(path)) {
            section.complain(key, "no such file, or it cannot be read: " + path);
        }
        return path;
    }
}
