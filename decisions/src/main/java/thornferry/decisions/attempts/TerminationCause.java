package thornferry.decisions.attempts;

/** The reason why a placed task terminated, as given to its owner. */
public enum TerminationCause {
    /** The task completed by itself. */
    COMPLETED,
    /** The machine ended the task, to free resources or because the machine was shutting down. */
    EVICTED,
    /**
     * The machine, or the incarnation of it that ran the task, is gone. It is unknown whether the
     * task completed.
     */
    LOST,
    /** The placement policy moved the task to another machine. */
    MIGRATED,
    /** The owner stopped the task. */
    STOPPED
}
