package thornferry.app;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import thornferry.protocol.Bodies;
import thornferry.protocol.Destinations;
import thornferry.protocol.ProtocolException;
import thornferry.protocol.v1.NodeView;
import thornferry.protocol.v1.Nodes;

@Command(
        name = "nodes",
        description = "List the nodes as the placer sees them.",
        footer = {"", "Example:", "  thornferry nodes --json"})
final class NodesCommand implements Callable<Integer> {
    @Mixin PlacerOptions placer;

    @Option(names = "--json", description = "Print one line of JSON.")
    boolean json;

    @Override
    public Integer call() throws Exception {
        Nodes nodes =
                placer.exchange(
                        PlacerOptions.WAIT_MS,
                        c -> c.subscribe("nodes", Destinations.NODES, "auto"),
                        (frame, to) -> {
                            try {
                                to.complete(Bodies.read(frame, Nodes.newBuilder()));
                            } catch (ProtocolException e) {
                                to.completeExceptionally(e);
                            }
                        },
                        new CompletableFuture<>());
        if (json) {
            System.out.println(Bodies.json(nodes));
            return 0;
        }
        System.out.printf(
                "%-20s %-10s %-10s %-10s %8s %8s %6s  %s%n",
                "NODE", "STATE", "KIND", "ZONE", "CORES", "MEMORY", "TASKS", "NOTE");
        for (NodeView n : nodes.getNodesList()) {
            System.out.printf(
                    "%-20s %-10s %-10s %-10s %8.1f %8.1f %6d  %s%n",
                    n.getNode(),
                    n.getState(),
                    n.getKind(),
                    n.getZone(),
                    n.getCores(),
                    n.getMemory(),
                    n.getTasks(),
                    n.getNote());
        }
        return 0;
    }
}
