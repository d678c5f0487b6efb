package thornferry.app;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.config.SiteFile;
import thornferry.placer.Placer;

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
    @Parameters(
            paramLabel = "CONFIG",
            description = "The site's TOML file; examples/site.toml explains the keys.")
    Path config;

    @Option(names = "--port", description = "In place of the file's.")
    Integer port;

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
        onHangUp(placer::reload);
        System.out.println(
                "listens on "
                        + placer.addresses().get(0)
                        + (file.instances() > 1 ? " and " + (file.instances() - 1) + " more" : ""));
        CountDownLatch end = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    placer.close();
                                    end.countDown();
                                }));
        end.await();
        return 0;
    }

    /** Reads the file anew on SIGHUP, where the system has that signal. */
    private static void onHangUp(Runnable reload) {
        try {
            sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
        } catch (IllegalArgumentException e) {
            LoggerFactory.getLogger(PlacerCommand.class)
                    .info("no reload on a signal here; use thornferry limits --reload");
        }
    }
}
