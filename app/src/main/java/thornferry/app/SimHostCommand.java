package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import thornferry.bench.SimHost;

/** Hosts the placement policy for the simulator, over standard input and output. */
@Command(
        name = "simhost",
        description = "Hosts the placement policy for the simulator on standard input and output.")
final class SimHostCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return SimHost.serve(System.in, System.out, System.err);
    }
}
