package thornferry.decisions.attempts;

/** How a placed task came to its end, as its owner is told. */
public enum TerminationCause {
    COMPLETED,
    EVICTED,
    LOST,
    MIGRATED,
    STOPPED
}
