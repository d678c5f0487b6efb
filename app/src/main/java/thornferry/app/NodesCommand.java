package thornferry.app;

import java.io.IOException;
import picocli.CommandLine.Command;
import thornferry.protocol.Destinations;
import thornferry.protocol.v1.NodeView;
import thornferry.protocol.v1.Nodes;

/** Prints the nodes that the placer knows. */
@Command(
        name = "nodes",
        description = "Lists the nodes that the placer knows, with their state and tasks.",
        footer = {"", "Example:", "  thornferry nodes --json"})
final class NodesCommand extends QueryCommand<Nodes> {
    @Override
    Nodes query(PlacerClient client) throws IOException {
        return client.firstMessage("nodes", Destinations.NODES, Nodes.getDefaultInstance());
    }

    @Override
    void printTable(Nodes nodes) {
        System.out.printf(
                "%-20s %-10s %-10s %-10s %8s %8s %6s  %s%n",
                "NODE", "STATE", "KIND", "ZONE", "CORES", "MEMORY", "TASKS", "NOTE");
        nodes.getNodesList().forEach(NodesCommand::printRow);
    }

    private static void printRow(NodeView node) {
        System.out.printf(
                "%-20s %-10s %-10s %-10s %8.1f %8.1f %6d  %s%n",
                node.getNode(),
                node.getState(),
                node.getKind(),
                node.getZone(),
                node.getCores(),
                node.getMemory(),
                node.getTasks(),
                node.getNote());
    }
}
