package thornferry.decisions.requests;

/**
 * How a request is completed.
 *
 * @param machine where the task is placed, empty for nowhere
 * @param reason a sentence for the owner, empty for none
 * @param retryAfterMicros with a rejection: how long the owner should wait before a retry
 */
record RequestOutcome(RequestResult result, String machine, String reason, long retryAfterMicros) {
    static RequestOutcome placed(String machine) {
        return new RequestOutcome(RequestResult.PLACED, machine, "", 0);
    }

    /** The task was found to be placed already, by an earlier incarnation of the placer. */
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
