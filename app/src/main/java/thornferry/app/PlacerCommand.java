package thornferry.app;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sun.misc.Signal;
import thornferry.config.SiteFile;
import thornferry.placer.Placer;

/** Runs the placer of a site in the foreground. */
@Command(
        name = "placer",
        description = "Run a placer until interrupted.",
        footer = {
            "",
            "Example:",
            "  thornferry placer examples/site.toml",
            "",
            "SIGHUP has it read the file anew: limits, shares, accounts and certificates."
        })
final class PlacerCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(PlacerCommand.class);

    @Parameters(
            paramLabel = "CONFIG",
            description = "The site's TOML file; examples/site.toml explains the keys.")
    private Path config;

    @Option(names = "--port", description = "In place of the file's.")
    private Integer port;

    @Override
    public Integer call() throws Exception {
        SiteFile file = SiteFile.read(config);
        Placer placer =
                Placer.start(
                        file.site(),
                        file.host(),
                        port == null ? file.port() : port,
                        file.instances());
        placer.reloadFrom(() -> SiteFile.read(config).site());
        reloadOnHangUp(placer);
        printAddresses(placer);
        UntilShutdown.await(placer::close);
        return ExitCode.OK;
    }

    private static void printAddresses(Placer placer) {
        List<InetSocketAddress> addresses = placer.addresses();
        int others = addresses.size() - 1;
        System.out.println(
                "listens on " + addresses.get(0) + (others > 0 ? " and " + others + " more" : ""));
    }

    /** Reloads the configuration on SIGHUP, if the operating system has that signal. */
    private static void reloadOnHangUp(Placer placer) {
        try {
            Signal.handle(new Signal("HUP"), signal -> placer.reload());
        } catch (IllegalArgumentException e) {
            LOG.info("no reload on a signal here; use thornferry limits --reload");
        }
    }
}
