package thornferry.decisions.requests;

/** The state of a request; {@link #canTransitionTo} lists the allowed transitions. */
enum RequestState {
    /** The request is being submitted or restored. */
    NEW,
    /**
     * The request is accepted. After a start of the placer, it waits until machines have reported
     * which tasks they have.
     */
    SETTLING,
    /**
     * The request is accepted. It waits for proof whether the task ran in an earlier incarnation of
     * the placer.
     */
    AWAITING_PROOF,
    /** The request is accepted and was given to the placement policy. */
    DISPATCHED,
    /** The request is completed without a placement, and the owner may retry. */
    REJECTED,
    /** The request is completed without a placement, and the result is final. */
    FAILED,
    /** The request is completed: the task is placed. */
    PLACED,
    /**
     * The request was completed by an earlier incarnation of the placer: the task was placed, and
     * its machine has not confirmed yet that it has the task.
     */
    PLACED_UNCONFIRMED,
    /** The placed task has terminated. */
    FINISHED;

    /** Returns whether the request has been accepted and has no result. */
    boolean isPending() {
        return this == SETTLING || this == AWAITING_PROOF || this == DISPATCHED;
    }

    /** Returns whether the transition to {@code next} is allowed. */
    boolean canTransitionTo(RequestState next) {
        return switch (this) {
            case NEW -> true;
            case SETTLING -> next == DISPATCHED || next.hasResult();
            case AWAITING_PROOF -> next == SETTLING || next == DISPATCHED || next.hasResult();
            case DISPATCHED -> next.hasResult();
            // FINISHED: a machine reports the end of a task of this id that an earlier incarnation
            // offered, with a class that is no longer configured
            case REJECTED -> next.isPending() || next.hasResult() || next == FINISHED;
            case FAILED -> false;
            case PLACED -> next == FINISHED;
            case PLACED_UNCONFIRMED -> next == PLACED || next == FINISHED;
            case FINISHED -> next.isPending() || next.hasResult();
        };
    }

    private boolean hasResult() {
        return this == REJECTED || this == FAILED || this == PLACED;
    }

    /** Returns the state of a request with this result. */
    static RequestState of(RequestResult result) {
        return switch (result) {
            case PLACED -> PLACED;
            case REJECTED -> REJECTED;
            case FAILED -> FAILED;
        };
    }
}
