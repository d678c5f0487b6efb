package thornferry.testbed.load;

/**
 * The emulated nodes of a measurement.
 *
 * @param count number of nodes; 0 if they run in other processes
 * @param kind machine kind, as the placer's configuration names it
 * @param cores of each node, as configured for the kind
 * @param memory of each node, as configured for the kind
 */
public record NodeFleet(int count, String kind, double cores, double memory) {
    /** The cores of all nodes; those of one node if the nodes run in other processes. */
    double totalCores() {
        return cores * Math.max(1, count);
    }
}
