package thornferry.config;

import java.nio.file.Path;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Site;
import thornferry.protocol.FrameLimits;

/**
 * The configuration of a placer process. {@code examples/site.toml} explains every key.
 *
 * @param site settings of the placer
 * @param host host name or IP address to listen on
 * @param port TCP port of the first instance; instance i listens on port + i. 0 for any free ports
 * @param instances number of instances of the placement module to run
 */
public record SiteFile(Site site, String host, int port, int instances) {
    /**
     * Reads a configuration.
     *
     * @throws ConfigException if the file is invalid, with all errors
     */
    public static SiteFile read(Path path) throws ConfigException {
        return of(TomlFile.read(path));
    }

    /**
     * Returns the configuration in a file. Unknown keys are errors.
     *
     * @throws ConfigException if the file is invalid, with all errors
     */
    public static SiteFile of(TomlFile file) throws ConfigException {
        // The order in which tables and keys are read is the order of the error messages.
        Section root = file.root();
        PlacerSection placer = PlacerSection.read(root);
        ConnectionsSection connections = ConnectionsSection.read(root);
        FrameLimits frames = FramesSection.read(root);
        Placement.Settings placement = PlacementTables.read(root, placer);
        Site site =
                new Site(
                        placer.name(),
                        placement,
                        placer.readSeed(),
                        AccountTables.read(root, placement),
                        MembershipSection.read(root),
                        IntakeSection.read(root),
                        AdmissionSection.read(root, placement),
                        TlsSection.read(root, file.directory()),
                        frames,
                        connections.heartbeat(),
                        connections.handshakeMillis(),
                        connections.maxConnections(),
                        StateSection.read(root, file.directory()));
        file.check();
        return new SiteFile(site, placer.host(), placer.port(), placer.instances());
    }
}
