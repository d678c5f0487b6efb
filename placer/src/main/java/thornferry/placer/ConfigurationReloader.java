package thornferry.placer;

import java.util.Optional;

/** Reloads the configuration of a placer; safe for use by several threads. */
interface ConfigurationReloader {
    /**
     * Reloads the configuration.
     *
     * @return empty on success, or the error; the previous configuration then stays in effect
     */
    Optional<String> reload();

    /** When and with what result the configuration was last reloaded; empty if never. */
    String lastReload();
}
