package thornferry.testbed.capture;

/** Something done to the cluster that no frame shows and that the auditor may have to know of. */
public sealed interface Mark {
    /** The placer that it was done to; empty if it was none. */
    String placer();

    /**
     * The process of a placer was killed.
     *
     * @param placer its name
     */
    record PlacerKilled(String placer) implements Mark {}

    /**
     * The process of a placer is suspended for a time. Written again with 0 when it is resumed,
     * which may be later than planned.
     *
     * @param placer its name
     * @param pauseMicros how long from now on
     */
    record PlacerPaused(String placer, long pauseMicros) implements Mark {}

    /**
     * The recording proxy holds back for a time what the placer sends on a connection.
     *
     * @param connection number of the connection
     * @param placer name of the placer
     * @param pauseMicros how long nothing is passed on from now on
     */
    record SlowReader(long connection, String placer, long pauseMicros) implements Mark {}

    /**
     * Any other fault; the auditor's rules do not depend on it.
     *
     * @param name what was done
     * @param placer name of the placer; empty if it was done to none
     */
    record Other(String name, String placer) implements Mark {}
}
