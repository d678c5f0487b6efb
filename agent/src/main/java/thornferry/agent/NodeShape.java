package thornferry.agent;

/**
 * Identity, location and size of a node.
 *
 * @param name unique name of the node
 * @param kind machine kind, as configured at the placer
 * @param zone zone of the node
 * @param cell number of the cell within the zone, not negative
 * @param cores number of cores
 * @param memory size in memory units
 */
public record NodeShape(
        String name, String kind, String zone, int cell, double cores, double memory) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public NodeShape {
        require(!name.isEmpty(), "name", name, "not empty");
        require(!zone.isEmpty(), "zone", zone, "not empty");
        require(cores > 0, "cores", cores, "greater than 0");
        require(memory > 0, "memory", memory, "greater than 0");
        require(cell >= 0, "cell", cell, "at least 0");
    }

    private static void require(boolean valid, String field, Object value, String limit) {
        if (!valid) {
            throw new IllegalArgumentException(
                    "node shape: " + field + " is " + value + ", must be " + limit);
        }
    }
}
