package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import thornferry.platform.PlatformServer;

/** Runs the placer of the platform in the foreground. */
@Command(
        name = "serve",
        description = {
            "Serve as a real placer on the platform, in the foreground, until SIGTERM.",
            "ROUTER_CONFIG names the configuration (JSON); SIGHUP reads it again."
        })
final class ServeCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return PlatformServer.run(System.getenv(), System.err);
    }
}
