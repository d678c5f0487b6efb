package thornferry.decisions.requests;

/** What is known of a task that is asked for. */
public enum Uncertainty {
    /** No attempt of a former life can have run. */
    NONE,
    /** One may have, and proof may come: hold the ask. */
    PENDING_PROOF,
    /** One may have, and no proof can come any more. */
    MAY_HAVE_RUN
}
