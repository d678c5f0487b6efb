package thornferry.decisions.requests;

/** The possibility that a requested task has run in an earlier incarnation of the placer. */
public enum Uncertainty {
    /** The task cannot have run. */
    NONE,
    /** The task may have run, and machines may still prove whether it did: the request waits. */
    PENDING_PROOF,
    /** The task may have run, and it can no longer be proven that it did not: the request fails. */
    MAY_HAVE_RUN
}
