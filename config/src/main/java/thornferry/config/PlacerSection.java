package thornferry.config;

import thornferry.config.TomlFile.Section;

/**
 * The table {@code [placer]}: the identity, address and number of placer instances.
 *
 * @param section the table itself, for the keys that are read later
 * @param instances number of instances that this process runs
 * @param placers number of instances of the site, in all processes
 */
record PlacerSection(
        Section section, String name, String host, int port, int instances, int placers) {
    private static final int DEFAULT_PORT = 61_613; // registered for STOMP
    private static final int MAX_PORT = 65_535;
    private static final int MAX_INSTANCES = 10_000;
    private static final int MAX_PLACERS = 1_000_000;
    private static final double MAX_SEED = 9e15; // less than 2^53, therefore exact as a double

    static PlacerSection read(Section root) {
        Section section = root.table("placer");
        String name = section.text("name", "placer");
        String host = section.text("host", "127.0.0.1");
        int port = section.whole("port", 0, MAX_PORT, DEFAULT_PORT);
        int instances = section.whole("instances", 1, MAX_INSTANCES, 1);
        int placers = section.whole("placers", 1, MAX_PLACERS, instances);
        if (placers < instances) {
            section.complain(
                    "placers",
                    "must not be less than instances, because it counts all placers of the site");
        }
        return new PlacerSection(section, name, host, port, instances, placers);
    }

    /** Reads the zone in which the placer runs. */
    String readZone() {
        return section.text("zone", "local");
    }

    /** Reads the random seed from which the seeds of the instances are derived. */
    long readSeed() {
        return (long) section.number("seed", 0, MAX_SEED, 1);
    }
}
