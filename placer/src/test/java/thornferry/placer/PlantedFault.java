package thornferry.placer;

/** A fault built into a simulation on purpose, to prove that its checks would find it. */
enum PlantedFault {
    NONE,
    JOURNAL_ACKNOWLEDGES_BEFORE_DURABLE,
    NODES_CLAIM_COMPLETE_HISTORY,
    NODES_HAVE_NO_HISTORY
}
