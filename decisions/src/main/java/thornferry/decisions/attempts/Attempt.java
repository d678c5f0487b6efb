package thornferry.decisions.attempts;

import thornferry.decisions.placement.Placement.Idempotency;

/** An attempt that has no outcome yet, with its offer and its state. */
final class Attempt {
    private final AttemptOffer offer;
    private AttemptState state;
    private TerminationCause cancellationCause; // null unless the attempt was cancelled

    Attempt(AttemptOffer offer, AttemptState state) {
        this.offer = offer;
        this.state = state;
    }

    AttemptOffer offer() {
        return offer;
    }

    String id() {
        return offer.attemptId();
    }

    String requestId() {
        return offer.requestId();
    }

    int number() {
        return offer.number();
    }

    String machine() {
        return offer.machine();
    }

    boolean isOpen() {
        return state == AttemptState.OPEN;
    }

    boolean isRunning() {
        return state == AttemptState.RUNNING;
    }

    boolean isIdempotent() {
        return offer.idempotency() == Idempotency.IDEMPOTENT;
    }

    void markPlaced() {
        state = AttemptState.PLACED;
    }

    void markRunning() {
        state = AttemptState.RUNNING;
    }

    /** Records why the task is cancelled; this becomes its termination cause once it has ended. */
    void recordCancellation(TerminationCause cause) {
        cancellationCause = cause;
    }

    /** Returns the cause of the cancellation, or {@code defaultCause} if there was none. */
    TerminationCause cancellationCauseOr(TerminationCause defaultCause) {
        return cancellationCause == null ? defaultCause : cancellationCause;
    }

    /** Returns the time since the offer was made. */
    long ageMicros(long now) {
        return now - offer.sentAtMicros();
    }
}
