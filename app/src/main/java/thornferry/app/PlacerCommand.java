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
        description = "Runs the placer of a site until interrupted.",
        footer = {
            "",
            "Example:",
            "  thornferry placer examples/site.toml",
            "",
            "SIGHUP reloads quotas, tenant shares, accounts and certificates from the file."
        })
final class PlacerCommand implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(PlacerCommand.class);

    @Parameters(
            paramLabel = "CONFIG",
            description = "Configuration file of the site; examples/site.toml explains its keys.")
    private Path config;

    @Option(
            names = "--port",
            description = "TCP port to listen on; default: the port in the configuration file.")
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
        reloadOnSighup(placer);
        printAddresses(placer);
        JvmShutdown.await(placer::close);
        return ExitCode.OK;
    }

    private static void printAddresses(Placer placer) {
        List<InetSocketAddress> addresses = placer.addresses();
        int others = addresses.size() - 1;
        System.out.println(
                "listens on " + addresses.get(0) + (others > 0 ? " and " + others + " more" : ""));
    }

    /** Makes SIGHUP reload the configuration, if the operating system has that signal. */
    private static void reloadOnSighup(Placer placer) {
        try {
            Signal.handle(new Signal("HUP"), signal -> placer.reload());
        } catch (IllegalArgumentException e) {
            LOG.info("SIGHUP is not available here; reload with thornferry limits --reload");
        }
    }
}
