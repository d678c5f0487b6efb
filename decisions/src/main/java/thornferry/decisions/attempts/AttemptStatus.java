package thornferry.decisions.attempts;

/** The status of an attempt as its machine reports it. */
public enum AttemptStatus {
    /** The machine has admitted the task and will start it. */
    ACCEPTED,
    /** The machine has not admitted the task, which never ran there. */
    REJECTED,
    /** The task has started. */
    RUNNING,
    /** The task completed by itself. */
    COMPLETED,
    /** The machine ended the task to free resources. */
    EVICTED,
    /** The machine ended the task because the machine is shutting down. */
    EVACUATED,
    /**
     * The machine ended the task, or dropped it before its start, because the placer cancelled it.
     */
    CANCELLED
}
