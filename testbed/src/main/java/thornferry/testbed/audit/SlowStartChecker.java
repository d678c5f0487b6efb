package thornferry.testbed.audit;

/**
 * Rule 4: a node that warms up is offered no more tasks within the window than it bears, counted
 * over all placers.
 */
final class SlowStartChecker implements OfferChecker {
    private static final double MICROS_PER_SECOND = 1e6;

    private final AuditContext context;
    private final TracedNodes nodes;

    SlowStartChecker(AuditContext context, TracedNodes nodes) {
        this.context = context;
        this.nodes = nodes;
    }

    @Override
    public void checkOffer(TracedAttempt offered) {
        nodes.find(offered.node()).ifPresent(node -> checkNode(offered.node(), node));
    }

    private void checkNode(String name, TracedNode node) {
        AuditRules rules = context.rules();
        long nowMicros = context.nowMicros();
        if (nowMicros >= node.startedAtMicros() + rules.slowStartMicros()) {
            return;
        }
        int offers = node.countOffer(nowMicros, rules.slowStartWindowMicros());
        double maxOffers = maxOffersInWindow(nowMicros - node.startedAtMicros());
        if (offers > maxOffers) {
            context.report(
                    Rule.SLOW_START,
                    "%s is cold and was offered %d tasks within %d ms; it bears %d"
                            .formatted(
                                    name,
                                    offers,
                                    rules.slowStartWindowMicros() / AuditContext.MICROS_PER_MILLI,
                                    (long) maxOffers));
        }
    }

    /** The rate rises linearly from the initial share to all of it while the node warms up. */
    private double maxOffersInWindow(long uptimeMicros) {
        AuditRules rules = context.rules();
        double initialShare = rules.slowStartInitialShare();
        double share =
                initialShare
                        + (1 - initialShare)
                                * Math.max(0, uptimeMicros)
                                / (double) Math.max(1, rules.slowStartMicros());
        double offersAtRate =
                rules.slowStartMultiple()
                        * share
                        * rules.startsPerSecond()
                        * rules.slowStartWindowMicros()
                        / MICROS_PER_SECOND;
        return Math.max(rules.slowStartOffers(), offersAtRate);
    }
}
