package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Offer;

/** Sends offers, each with a timeout, and reserves the capacity for each. */
final class OfferSender {
    /**
     * The weight of a start that includes the set-up of the program, as a number of starts without
     * set-up.
     */
    private static final double SETUP_START_WEIGHT = 6.0;

    /** The likelihood above which a set-up is expected. */
    private static final double SETUP_EXPECTED_LIKELIHOOD = 0.5;

    private final EventContext context;
    private final ServiceAffinity affinity;
    private final AttemptTimeoutEstimator timeouts;
    private final Reservations reservations;

    OfferSender(
            EventContext context,
            ServiceAffinity affinity,
            AttemptTimeoutEstimator timeouts,
            Reservations reservations) {
        this.context = context;
        this.affinity = affinity;
        this.timeouts = timeouts;
        this.reservations = reservations;
    }

    void send(TrackedTask task, TrackedMachine machine) {
        long nowMicros = context.nowMicros();
        boolean setupExpected = affinity.setupLikelihood(machine, task) > SETUP_EXPECTED_LIKELIHOOD;
        long timeLeftMicros = task.offerTimeLeftMicros(nowMicros);
        long timeoutMicros = timeouts.timeoutMicros(task, setupExpected, timeLeftMicros);
        task.startAttempt(machine, nowMicros, setupExpected);
        task.setStartWeight(setupExpected ? SETUP_START_WEIGHT : 1);
        reservations.reserve(task);
        machine.recentOfferMicros().addLast(nowMicros);
        long boundedTimeoutMicros = Math.max(1, Math.min(timeoutMicros, timeLeftMicros));
        context.emit(new Offer(task.id(), machine.id(), boundedTimeoutMicros));
    }
}
