package thornferry.decisions.attempts;

/** What a machine says of an attempt. */
public enum AttemptStatus {
    ACCEPTED,
    REJECTED,
    RUNNING,
    COMPLETED,
    EVICTED,
    EVACUATED,
    CANCELLED
}
