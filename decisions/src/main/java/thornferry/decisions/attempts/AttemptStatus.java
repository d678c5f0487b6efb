package thornferry.decisions.attempts;

/** The status of an attempt as its machine reports it. */
public enum AttemptStatus {
    /** The machine has admitted the task and will start it. */
    ACCEPTED,
    /** The machine has not admitted the task; it never ran there. */
    REJECTED,
    /** The task has started. */
    RUNNING,
    /** The task ran to its end. */
    COMPLETED,
    /** The machine ended the task to free resources. */
    EVICTED,
    /** The machine ended the task because the machine itself is shutting down. */
    EVACUATED,
    /** The task was ended, or dropped before its start, because the placer cancelled it. */
    CANCELLED
}
