package thornferry.config;

import java.nio.file.Path;
import thornferry.config.TomlFile.Section;
import thornferry.decisions.placement.Placement;
import thornferry.placer.Site;
import thornferry.protocol.FrameLimits;

/**
 * The configuration of a placer process. {@code examples/site.toml} explains every key.
 *
 * @param host on which to listen
 * @param port of the first instance; instance i listens on port + i. 0 for any free ports
 * @param instances how many instances of the placement module to run
 */
public record SiteFile(Site site, String host, int port, int instances) {
    /**
     * Reads a configuration.
     *
     * @throws ConfigException with everything that is wrong with it
     */
    public static SiteFile read(Path path) throws ConfigException {
        return of(TomlFile.read(path));
    }

    /**
     * The configuration in a file, all keys of which must be known.
     *
     * @throws ConfigException with everything that is wrong with it
     */
    public static SiteFile of(TomlFile file) throws ConfigException {
        // Tables and keys are read in a fixed order, which is that of the complaints.
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
