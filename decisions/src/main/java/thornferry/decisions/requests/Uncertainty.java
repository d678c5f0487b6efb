package thornferry.decisions.requests;

/** Whether a requested task may have run in an earlier incarnation of the placer. */
public enum Uncertainty {
    /** It cannot have run. */
    NONE,
    /** It may have run, and machines may still prove that it did or did not: the request waits. */
    PENDING_PROOF,
    /** It may have run, and nothing can prove any more that it did not: the request fails. */
    MAY_HAVE_RUN
}
