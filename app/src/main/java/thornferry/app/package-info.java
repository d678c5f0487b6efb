/**
 * The command line: one class for each command, over the modules that do the work. Exit codes are
 * in {@link thornferry.app.Main}.
 */
package thornferry.app;
