package thornferry.testbed.audit;

/** Checks each offer against one rule. */
interface OfferChecker {
    /**
     * A placer offers a task to a node.
     *
     * @param offered the new attempt, which is not among its task's attempts yet
     */
    void checkOffer(TracedAttempt offered);
}
