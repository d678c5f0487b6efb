package thornferry.testbed.diagnosis;

import thornferry.config.ConfigException;
import thornferry.config.SiteFile;
import thornferry.config.TomlFile;
import thornferry.placer.Site;

/** The settings that all scenarios share: task classes, tenants and accounts. */
final class ScenarioSite {
    /** The task classes of the site. */
    enum TaskClass {
        IDEMPOTENT("idempotent"),
        /** Idempotent, with five times the priority weight of the others. */
        HIGH_PRIORITY("high-priority"),
        /** Idempotent with a key, whose scope is a zone. */
        IDEMPOTENT_WITH_KEY("idempotent-with-key"),
        NON_IDEMPOTENT("non-idempotent"),
        /** Idempotent, with at most one task of a service per node. */
        SPREAD("spread");

        private final String settingName;

        TaskClass(String settingName) {
            this.settingName = settingName;
        }

        /** Returns the name of the class in the settings and in tasks. */
        String settingName() {
            return settingName;
        }
    }

    /** Machine kind of all nodes, with the size that the next two constants give. */
    static final String MACHINE_KIND = "std";

    static final double NODE_CORES = 16;
    static final double NODE_MEMORY = 32;

    /** Login of the observed task's owner, who belongs to tenant {@code one}. */
    static final String OWNER_LOGIN = "owner1";

    /** Login of another owner, who belongs to tenant {@code two}. */
    static final String OTHER_OWNER_LOGIN = "owner2";

    static final String OWNER_PASSCODE = "o";
    static final String NODE_LOGIN = "node";
    static final String NODE_PASSCODE = "n";

    private static final String COMMON_SETTINGS =
            """
            [connections]
            heart-beat-ms = 500
            [intake]
            settle-ms = 0
            [rules]
            ramp-ms = 60000
            cold-offers = 2
            cold-window-ms = 1500
            [[kind]]
            name = "std"
            cores = 16.0
            memory = 32.0
            [[class]]
            name = "idempotent"
            effect = "safe"
            deadline-ms = 20000
            [[class]]
            name = "high-priority"
            effect = "safe"
            deadline-ms = 20000
            worth = 5.0
            [[class]]
            name = "idempotent-with-key"
            effect = "keyed"
            key-scope = "zone"
            key-window-ms = 60000
            deadline-ms = 20000
            [[class]]
            name = "non-idempotent"
            effect = "unsafe"
            deadline-ms = 20000
            [[class]]
            name = "spread"
            effect = "safe"
            deadline-ms = 20000
            spread = "machine"
            spread-most = 1
            [[tenant]]
            name = "one"
            share = 0.5
            [[tenant]]
            name = "two"
            share = 0.5
            [[account]]
            login = "owner1"
            passcode = "o"
            role = "owner"
            tenant = "one"
            [[account]]
            login = "owner2"
            passcode = "o"
            role = "owner"
            tenant = "two"
            [[account]]
            login = "node"
            passcode = "n"
            role = "agent"
            """;

    private ScenarioSite() {}

    /** Returns the site of the common settings, followed by the given TOML tables. */
    static Site withExtraSettings(String extraSettings) {
        try {
            return SiteFile.of(TomlFile.parse("scenario.toml", COMMON_SETTINGS + extraSettings))
                    .site();
        } catch (ConfigException e) {
            throw new IllegalArgumentException("invalid settings of a scenario", e);
        }
    }
}
