package thornferry.placer;

import java.util.Optional;

/** Reloads the configuration of a placer; safe for use by several threads. */
interface ConfigurationReloader {
    /**
     * Reloads the configuration.
     *
     * @return empty on success; otherwise the error, in which case the previous configuration stays
     *     in effect
     */
    Optional<String> reload();

    /** Returns the time and the outcome of the last reload; empty if there was none. */
    String lastReload();
}
