package thornferry.decisions.requests;

/**
 * The outcome with which a request is completed.
 *
 * @param machine the machine where the task is placed, empty if it is not placed
 * @param reason a sentence for the owner, empty for none
 * @param retryAfterMicros with a rejection, the time that the owner should wait before a retry
 */
record RequestOutcome(RequestResult result, String machine, String reason, long retryAfterMicros) {
    static RequestOutcome placed(String machine) {
        return new RequestOutcome(RequestResult.PLACED, machine, "", 0);
    }

    /** Returns the outcome for a task that an earlier incarnation of the placer has placed. */
    static RequestOutcome placedEarlier(String machine) {
        return new RequestOutcome(RequestResult.PLACED, machine, RequestMessages.RAN_ALREADY, 0);
    }

    static RequestOutcome rejected(String reason, long retryAfterMicros) {
        return new RequestOutcome(RequestResult.REJECTED, "", reason, retryAfterMicros);
    }

    static RequestOutcome failed(String reason) {
        return new RequestOutcome(RequestResult.FAILED, "", reason, 0);
    }
}
