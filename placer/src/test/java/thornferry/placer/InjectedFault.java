package thornferry.placer;

/** A fault that is injected into a simulation, to prove that the checks detect it. */
enum InjectedFault {
    /** No fault is injected. */
    NONE,

    /** The journal acknowledges a record before the record is durable. */
    JOURNAL_ACKNOWLEDGES_BEFORE_DURABLE,

    /** The nodes forget finished attempts and report that their history is complete. */
    NODES_CLAIM_COMPLETE_HISTORY,

    /** The nodes report no finished attempts at all. */
    NODES_HAVE_NO_HISTORY
}
