package thornferry.app;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.Drain;

/** Drains a node, or ends its drain. */
@Command(
        name = "drain",
        description =
                "Drains a node: it receives no further tasks and its running tasks are evacuated.",
        footer = {"", "Example:", "  thornferry drain node-2", "  thornferry drain --off node-2"})
final class DrainCommand implements Callable<Integer> {
    @Mixin private PlacerOptions placer;

    @Option(names = "--off", description = "Ends the drain, so that the node receives tasks again.")
    private boolean off;

    @Parameters(paramLabel = "NODE", description = "Name of the node.")
    private String node;

    @Override
    public Integer call() throws IOException {
        Drain request = Drain.newBuilder().setNode(node).setOn(!off).build();
        String successText = "node " + node + (off ? " is no longer draining" : " is draining");
        return placer.client().request(Destinations.DRAIN, request, successText);
    }
}
