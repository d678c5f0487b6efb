/**
 * The command line, with one class for each command. The other modules do the work.
 *
 * <p>{@link thornferry.app.Main} is the root command. Commands that talk to a placer share {@code
 * PlacerOptions} and {@code TlsOptions} and use {@code PlacerClient}; those that query it once
 * extend {@code QueryCommand}. Results are printed on standard output, errors and logs on standard
 * error, and {@code ExitCode} lists the exit codes.
 */
package thornferry.app;
