package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import thornferry.platform.PlatformServer;

/** Runs a placer of the platform in the foreground. */
@Command(
        name = "serve",
        description = {
            "Runs a placer on the platform in the foreground until SIGTERM.",
            "The environment variable ROUTER_CONFIG names the configuration file, in JSON;"
                    + " SIGHUP reloads it."
        })
final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return PlatformServer.run(System.getenv(), System.err);
    }
}
