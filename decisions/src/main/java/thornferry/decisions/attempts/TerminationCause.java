package thornferry.decisions.attempts;

/** Why a placed task terminated, as its owner is notified. */
public enum TerminationCause {
    /** It ran to its end. */
    COMPLETED,
    /** Its machine ended it, to free resources or because the machine shut down. */
    EVICTED,
    /** Its machine, or the machine's incarnation, is gone; whether it completed is unknown. */
    LOST,
    /** The placement policy moved it to another machine. */
    MIGRATED,
    /** Its owner stopped it. */
    STOPPED
}
