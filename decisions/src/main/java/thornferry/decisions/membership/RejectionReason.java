package thornferry.decisions.membership;

/** Why a machine turned an offer down, in its own words. */
public enum RejectionReason {
    INSUFFICIENT_CORES,
    INSUFFICIENT_MEMORY,
    QUEUE_FULL,
    KEY_HELD,
    DRAINING,
    UNAVAILABLE,
    NONE
}
