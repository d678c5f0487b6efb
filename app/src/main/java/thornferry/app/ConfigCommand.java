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
        description = "Work with configuration files.",
        subcommands = ConfigCommand.Check.class)
final class ConfigCommand extends CommandGroup {
    /** Checks a site's configuration file. */
    @Command(
            name = "check",
            description = "Check a site's file; every complaint names file, line and key.",
            footer = {"", "Example:", "  thornferry config check examples/site.toml"})
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        private Path file;

        @Override
        public Integer call() throws Exception {
            Site site = SiteFile.read(file).site();
            System.out.println(
                    file
                            + ": good; "
                            + site.placement().classes().size()
                            + " classes, "
                            + site.placement().machineKinds().size()
                            + " kinds, "
                            + site.accounts().size()
                            + " accounts");
            return ExitCode.OK;
        }
    }
}
