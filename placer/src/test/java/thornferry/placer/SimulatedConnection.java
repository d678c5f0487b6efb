package thornferry.placer;

/**
 * A connection of a node. Frames keep their order in each direction; once the connection is broken,
 * only the first few of those in transit arrive.
 */
final class SimulatedConnection {
    private static final long NEVER = Long.MAX_VALUE;

    final long number;
    boolean open = true;

    /** When the last frame sent to the node arrives there. */
    long lastArrivalAtNode;

    /** When the last frame sent to the placer arrives there. */
    long lastArrivalAtPlacer;

    /** Nothing arrives at the node from this time on. */
    long endAtNode = NEVER;

    /** Nothing arrives at the placer from this time on. */
    long endAtPlacer = NEVER;

    SimulatedConnection(long number) {
        this.number = number;
    }
}
