/**
 * Reads the configuration of a placer from a TOML file.
 *
 * <p>{@link thornferry.config.TomlFile} gives access to the values and collects all errors of a
 * file, each with file, line and key. {@link thornferry.config.SiteFile} is the whole
 * configuration; each table of the file has a class of its own, such as {@code PlacerSection} for
 * {@code [placer]} and {@code ClassTables} for the tables {@code [[class]]}.
 *
 * <p>The keys and named values of the file are fixed and occur only in these classes. Durations are
 * milliseconds in the file and microseconds in the objects that are read from it. Each value is
 * checked against the range given beside its key; {@code examples/site.toml} explains them.
 */
package thornferry.config;
