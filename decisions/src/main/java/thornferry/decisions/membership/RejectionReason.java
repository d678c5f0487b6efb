package thornferry.decisions.membership;

/** Why a machine rejected an offer, as the machine itself reported it. */
public enum RejectionReason {
    /** Too few free cores for the task. */
    INSUFFICIENT_CORES,
    /** Too little free memory for the task. */
    INSUFFICIENT_MEMORY,
    /** Too many offers wait for an answer at the machine. */
    QUEUE_FULL,
    /** Another attempt with the same idempotency key is running, or ran within the key's window. */
    KEY_HELD,
    /** The machine is draining. */
    DRAINING,
    /** The machine cannot run the task, for a reason it does not specify. */
    UNAVAILABLE,
    /** No rejection, or one without a reason. */
    NONE
}
