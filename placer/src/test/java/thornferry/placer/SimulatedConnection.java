package thornferry.placer;

/**
 * A connection of a node. Frames keep their order in each direction; once the connection is broken,
 * only the first few of those in transit arrive.
 */
final class SimulatedConnection {
    private static final long NEVER = Long.MAX_VALUE;

    final long number;
    boolean open = true;

    /** The time at which the last frame sent to the node arrives. */
    long lastArrivalAtNodeMicros;

    /** The time at which the last frame sent to the placer arrives. */
    long lastArrivalAtPlacerMicros;

    /** The time from which no frame arrives at the node. */
    long endAtNodeMicros = NEVER;

    /** The time from which no frame arrives at the placer. */
    long endAtPlacerMicros = NEVER;

    SimulatedConnection(long number) {
        this.number = number;
    }
}
