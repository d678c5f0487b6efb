package thornferry.testbed.load;

/**
 * The result of a {@link ReservationExperiment}.
 *
 * @param load offered load of small tasks, as a multiple of the nodes' capacity
 * @param reservations whether capacity was reserved for large tasks
 * @param requested number of large tasks requested
 * @param placed number of large tasks placed
 * @param priorityWeightPerSecond priority weights of all placed tasks, small and large, per second
 */
public record ReservationOutcome(
        double load,
        boolean reservations,
        int requested,
        int placed,
        double priorityWeightPerSecond) {}
