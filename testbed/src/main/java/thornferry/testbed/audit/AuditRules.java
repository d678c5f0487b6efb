package thornferry.testbed.audit;

/**
 * The limits that a site declares at the beginning of its capture.
 *
 * @param answerGraceMicros how much later than its deadline a result may come
 * @param drainGraceMicros how long after the notification of a drain offers may still come
 * @param slowStartMicros how long after its start a node warms up
 * @param slowStartInitialShare share of its full rate that a node bears at its start
 * @param slowStartMultiple how many times the rate that it bears a node may be offered
 * @param slowStartWindowMicros the interval in which offers are counted
 * @param slowStartOffers offers in an interval that are always allowed
 * @param maxWaitMicros the longest time that a request may wait for its result
 * @param startsPerSecond rate at which the slowest node starts tasks once it is warm
 */
record AuditRules(
        long answerGraceMicros,
        long drainGraceMicros,
        long slowStartMicros,
        double slowStartInitialShare,
        double slowStartMultiple,
        long slowStartWindowMicros,
        double slowStartOffers,
        long maxWaitMicros,
        double startsPerSecond) {

    /** The longest wait where the site declares none; sums with it do not overflow. */
    static final long UNLIMITED_WAIT_MICROS = Long.MAX_VALUE / 4;

    /** For a capture that does not begin with its site. */
    static final AuditRules UNDECLARED =
            new AuditRules(0, 0, 0, 0, 0, 0, 0, UNLIMITED_WAIT_MICROS, 0);
}
