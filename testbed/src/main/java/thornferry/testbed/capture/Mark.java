package thornferry.testbed.capture;

/** An action on the cluster that no frame shows but that the trace auditor may need to know. */
public sealed interface Mark {
    /** Returns the name of the affected placer; empty if the action affects no placer. */
    String placer();

    /**
     * The process of a placer was killed.
     *
     * @param placer name of the placer
     */
    record PlacerKilled(String placer) implements Mark {}

    /**
     * The process of a placer is suspended. If the process resumes later than planned, a second
     * mark with a pause of 0 is written at that time.
     *
     * @param placer name of the placer
     * @param pauseMicros planned duration of the pause, from the time of the mark
     */
    record PlacerPaused(String placer, long pauseMicros) implements Mark {}

    /**
     * The recording proxy temporarily stops reading what the placer sends on a connection.
     *
     * @param connection number of the connection
     * @param placer name of the placer
     * @param pauseMicros duration of the pause, from the time of the mark
     */
    record SlowReader(long connection, String placer, long pauseMicros) implements Mark {}

    /**
     * Any other fault; the trace auditor's rules do not depend on it.
     *
     * @param name name of the fault
     * @param placer name of the affected placer; empty if the fault affects no placer
     */
    record Other(String name, String placer) implements Mark {}
}
