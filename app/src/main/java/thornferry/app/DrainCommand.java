package thornferry.app;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.Drain;

@Command(
        name = "drain",
        description = "Drain a node: nothing new goes there and it sends away what it runs.",
        footer = {"", "Example:", "  thornferry drain node-2", "  thornferry drain --off node-2"})
final class DrainCommand implements Callable<Integer> {
    @Mixin PlacerOptions placer;

    @Option(names = "--off", description = "End the drain.")
    boolean off;

    @Parameters(paramLabel = "NODE")
    String node;

    @Override
    public Integer call() throws Exception {
        return placer.send(
                Destinations.DRAIN,
                Drain.newBuilder().setNode(node).setOn(!off).build(),
                "node " + node + (off ? " no longer drains" : " drains"));
    }
}
