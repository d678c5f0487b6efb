package thornferry.config;

import thornferry.config.TomlFile.Section;

/**
 * The table {@code [placer]}.
 *
 * @param instances run by this process
 * @param placers all instances of the site, in whatever process
 */
record PlacerSection(
        Section section, String name, String host, int port, int instances, int placers) {
    private static final int DEFAULT_PORT = 61_613; // registered for STOMP
    private static final int MAX_PORT = 65_535;
    private static final int MAX_INSTANCES = 10_000;
    private static final int MAX_PLACERS = 1_000_000;
    private static final double MAX_SEED = 9e15; // below 2^53, so that it is exact as a double

    static PlacerSection read(Section root) {
        Section section = root.table("placer");
        String name = section.text("name", "placer");
        String host = section.text("host", "127.0.0.1");
        int port = section.whole("port", 0, MAX_PORT, DEFAULT_PORT);
        int instances = section.whole("instances", 1, MAX_INSTANCES, 1);
        int placers = section.whole("placers", 1, MAX_PLACERS, instances);
        if (placers < instances) {
            section.complain(
                    "placers", "counts all placers of the site, so it cannot be under instances");
        }
        return new PlacerSection(section, name, host, port, instances, placers);
    }

    /** The zone that the placer is in. */
    String readZone() {
        return section.text("zone", "local");
    }

    /** The seed from which those of the instances are derived. */
    long readSeed() {
        return (long) section.number("seed", 0, MAX_SEED, 1);
    }
}
