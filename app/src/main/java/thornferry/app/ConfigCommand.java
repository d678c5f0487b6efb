package thornferry.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import thornferry.config.SiteFile;
import thornferry.placer.Site;

/** Groups the commands on configuration files. */
@Command(
        name = "config",
        description = "Groups the commands on configuration files.",
        subcommands = ConfigCommand.Check.class)
final class ConfigCommand extends CommandGroup {
    /** Checks a site's configuration file. */
    @Command(
            name = "check",
            description =
                    "Checks a site's configuration file and prints each error with file, line and"
                            + " key.",
            footer = {"", "Example:", "  thornferry config check examples/site.toml"})
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "Configuration file of a site, in TOML.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            Site site = SiteFile.read(file).site();
            System.out.println(
                    file
                            + ": valid; "
                            + site.placement().classes().size()
                            + " task classes, "
                            + site.placement().machineKinds().size()
                            + " machine kinds, "
                            + site.accounts().size()
                            + " accounts");
            return ExitCode.OK;
        }
    }
}
