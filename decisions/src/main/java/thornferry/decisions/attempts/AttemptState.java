package thornferry.decisions.attempts;

/** The state of an attempt that has no outcome yet. Attempts with an outcome are not tracked. */
enum AttemptState {
    /** The attempt is offered, or about to be, and its machine has not answered. */
    OPEN,
    /** The machine has admitted the task, which is not known to have started. */
    PLACED,
    /** The machine has admitted the task, and the task has started. */
    RUNNING
}
