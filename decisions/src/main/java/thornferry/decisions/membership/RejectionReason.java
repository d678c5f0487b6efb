package thornferry.decisions.membership;

/** The reason for which a machine rejected an offer, as reported by the machine. */
public enum RejectionReason {
    /** The machine has too few free cores for the task. */
    INSUFFICIENT_CORES,
    /** The machine has too little free memory for the task. */
    INSUFFICIENT_MEMORY,
    /** Too many offers are waiting for an answer of the machine. */
    QUEUE_FULL,
    /** Another attempt with the same idempotency key is running, or ran within the key's window. */
    KEY_HELD,
    /** The machine is draining. */
    DRAINING,
    /** The machine cannot run the task, for a reason it does not specify. */
    UNAVAILABLE,
    /** The machine rejected no offer, or rejected one without a reason. */
    NONE
}
