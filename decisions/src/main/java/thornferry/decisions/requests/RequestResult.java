package thornferry.decisions.requests;

/** The result of a request. */
public enum RequestResult {
    /** A machine has accepted the task. */
    PLACED,
    /** The task has not been placed and has not run; a retry is harmless. */
    REJECTED,
    /** The task has not been placed. It may have run. */
    FAILED
}
