package thornferry.testbed.scenario;

import java.nio.file.Path;
import java.util.List;
import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.config.TomlFile.Section;
import thornferry.placer.Site;
import thornferry.state.Durability;

/**
 * A scenario: the configuration of a site together with a fleet of nodes, the traffic and the
 * faults, in one TOML file. {@code examples/days} contains some.
 *
 * @param script the file it was read from; child processes read it again
 * @param site the configuration of the placers, without the accounts of the scenario
 * @param settings the table {@code [day]}
 * @param fleets the nodes, at least one fleet
 * @param traffic the streams of tasks that clients submit
 * @param faults in the order of the file
 */
public record ScenarioFile(
        Path script,
        Site site,
        ScenarioSettings settings,
        List<Fleet> fleets,
        List<TrafficStream> traffic,
        List<Fault> faults) {
    private static final Path STATE_FOLDER = Path.of("state");

    /** Copies the lists. */
    public ScenarioFile {
        fleets = List.copyOf(fleets);
        traffic = List.copyOf(traffic);
        faults = List.copyOf(faults);
    }

    /**
     * Reads a scenario.
     *
     * @throws ConfigException with everything that is wrong with it
     */
    public static ScenarioFile read(Path script) throws ConfigException {
        return of(script, TomlFile.read(script));
    }

    /**
     * The scenario in a file, all keys of which must be known.
     *
     * @throws ConfigException with everything that is wrong with it
     */
    static ScenarioFile of(Path script, TomlFile file) throws ConfigException {
        // Tables and keys are read in a fixed order, which is that of the complaints.
        Section root = file.root();
        ScenarioSettings settings = DayTable.read(root);
        List<Section> fleetSections = root.tables("fleet");
        List<Section> trafficSections = root.tables("traffic");
        List<Section> faultSections = root.tables("trouble");
        FleetTables fleetTables = FleetTables.read(root, fleetSections);
        TrafficTables trafficTables = TrafficTables.read(trafficSections);
        List<Fault> faults = FaultTables.read(faultSections, settings);
        // Reading the site throws every complaint up to here together with its own.
        Site site = SiteFile.of(file).site();
        List<Fleet> fleets = fleetTables.resolve(site.placement());
        file.check();
        List<TrafficStream> traffic = trafficTables.resolve(site.placement());
        file.check();
        return new ScenarioFile(script, site, settings, fleets, traffic, faults);
    }

    /** The seed from which every random generator of the scenario is seeded. */
    public long seed() {
        return settings.seed();
    }

    /** The same scenario with another seed. */
    public ScenarioFile withSeed(long newSeed) {
        return new ScenarioFile(script, site, settings.withSeed(newSeed), fleets, traffic, faults);
    }

    /** The same scenario with another durability of the placers' journals. */
    public ScenarioFile withDurability(Durability durability) {
        Site newSite = site.withState(new Site.State(durability, STATE_FOLDER));
        return new ScenarioFile(script, newSite, settings, fleets, traffic, faults);
    }
}
