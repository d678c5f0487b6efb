package thornferry.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import thornferry.config.SiteFile;

@Command(
        name = "config",
        description = "Work with configuration files.",
        subcommands = ConfigCommand.Check.class)
final class ConfigCommand extends Main.Group {
    @Command(
            name = "check",
            description = "Check a site's file; every complaint names file, line and key.",
            footer = {"", "Example:", "  thornferry config check examples/site.toml"})
    static final class Check implements Callable<Integer> {
        @Parameters(paramLabel = "FILE")
        Path file;

        @Override
        public Integer call() throws Exception {
            SiteFile read = SiteFile.read(file);
            System.out.println(
                    file
                            + ": good; "
                            + read.site().placement().classes().size()
                            + " classes, "
                            + read.site().placement().machineKinds().size()
                            + " kinds, "
                            + read.site().accounts().size()
                            + " accounts");
            return 0;
        }
    }
}
