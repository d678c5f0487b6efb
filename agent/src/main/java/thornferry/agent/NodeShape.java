package thornferry.agent;

/** What a node is: name, kind, where it stands, and its size in cores and memory units. */
public record NodeShape(
        String node, String kind, String zone, int cell, double cores, double memory) {
    public NodeShape {
        if (node.isEmpty() || zone.isEmpty() || !(cores > 0) || !(memory > 0) || cell < 0) {
            throw new IllegalArgumentException(
                    "node " + node + ": name, zone, cores and memory are needed");
        }
    }
}
