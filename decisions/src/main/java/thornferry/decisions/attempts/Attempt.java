package thornferry.decisions.attempts;

import thornferry.decisions.placement.Placement.Idempotency;

/** An attempt without an outcome: its offer and its state. */
final class Attempt {
    private final AttemptOffer offer;
    private AttemptState state;
    private TerminationCause cancellationCause; // null while nobody has cancelled it

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

    void becomePlaced() {
        state = AttemptState.PLACED;
    }

    void becomeRunning() {
        state = AttemptState.RUNNING;
    }

    /** Records why the task is cancelled, to be the termination cause once it has ended. */
    void cancelledBecause(TerminationCause cause) {
        cancellationCause = cause;
    }

    /** The recorded cause of a cancellation, or {@code otherwise} where there was none. */
    TerminationCause cancellationCauseOr(TerminationCause otherwise) {
        return cancellationCause == null ? otherwise : cancellationCause;
    }

    /** How long the offer has been out. */
    long ageMicros(long now) {
        return now - offer.sentAtMicros();
    }
}
