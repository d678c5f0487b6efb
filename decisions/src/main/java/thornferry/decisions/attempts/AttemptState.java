package thornferry.decisions.attempts;

/** The state of an attempt that has no outcome yet; an attempt with an outcome is not tracked. */
enum AttemptState {
    /** Offered, or about to be, and not answered. */
    OPEN,
    /** Admitted by its machine, and not known to have started. */
    PLACED,
    /** Admitted by its machine, and started. */
    RUNNING
}
