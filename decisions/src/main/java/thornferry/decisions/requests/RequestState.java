package thornferry.decisions.requests;

/** The state of a request; {@link #canBecome} lists the allowed transitions. */
enum RequestState {
    /** Being submitted or restored. */
    NEW,
    /** Accepted; waits after the start of the placer until machines have reported what runs. */
    SETTLING,
    /**
     * Accepted; waits for proof that the task did or did not run in an earlier incarnation of the
     * placer.
     */
    AWAITING_PROOF,
    /** Accepted, and given to the placement policy. */
    DISPATCHED,
    /** Completed without a placement; the owner may retry. */
    REJECTED,
    /** Completed without a placement, for good. */
    FAILED,
    /** Completed: the task is placed. */
    PLACED,
    /**
     * Completed by an earlier incarnation of the placer: the task was placed, and its machine has
     * not yet confirmed that it has it.
     */
    PLACED_UNCONFIRMED,
    /** The placed task has terminated. */
    FINISHED;

    /** Whether the request has been accepted and has no result. */
    boolean isPending() {
        return this == SETTLING || this == AWAITING_PROOF || this == DISPATCHED;
    }

    /** Whether the transition to {@code next} is allowed. */
    boolean canBecome(RequestState next) {
        return switch (this) {
            case NEW -> true;
            case SETTLING -> next == DISPATCHED || next.isCompletion();
            case AWAITING_PROOF -> next == SETTLING || next == DISPATCHED || next.isCompletion();
            case DISPATCHED -> next.isCompletion();
            // FINISHED: a machine reports the end of a task of this name from an earlier
            // incarnation,
            // with a class that is not configured any more
            case REJECTED -> next.isPending() || next.isCompletion() || next == FINISHED;
            case FAILED -> false;
            case PLACED -> next == FINISHED;
            case PLACED_UNCONFIRMED -> next == PLACED || next == FINISHED;
            case FINISHED -> next.isPending() || next.isCompletion();
        };
    }

    private boolean isCompletion() {
        return this == REJECTED || this == FAILED || this == PLACED;
    }

    /** The state of a request with this result. */
    static RequestState of(RequestResult result) {
        return switch (result) {
            case PLACED -> PLACED;
            case REJECTED -> REJECTED;
            case FAILED -> FAILED;
        };
    }
}
