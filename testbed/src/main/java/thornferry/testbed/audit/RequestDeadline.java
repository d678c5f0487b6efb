package thornferry.testbed.audit;

/**
 * When the result of a request is due. The capture does not show when the placer read a request,
 * and so there are two times: the due time assumes that it read each request without delay, the
 * latest due time that it may have read a request without a receipt only together with its
 * repetition.
 */
final class RequestDeadline {
    private long maxWaitMicros;
    private long longestMaxWaitMicros;
    private long dueMicros;
    private long latestDueMicros;

    /**
     * A new request begins to wait.
     *
     * @param startMicros when the placer can read it at the earliest
     */
    void begin(long startMicros, long newMaxWaitMicros) {
        maxWaitMicros = newMaxWaitMicros;
        longestMaxWaitMicros = newMaxWaitMicros;
        dueMicros = startMicros + newMaxWaitMicros;
        latestDueMicros = dueMicros;
    }

    /**
     * The request is sent again, since its connection broke. If it had no receipt, the placer may
     * not have read it before this repetition, or its receipt was lost with the connection; then
     * the longer of the two waits may count.
     *
     * @param hadReceipt whether the receipt of the earlier request was seen
     */
    void resend(long nowMicros, long newMaxWaitMicros, boolean hadReceipt) {
        maxWaitMicros = newMaxWaitMicros;
        longestMaxWaitMicros =
                hadReceipt ? newMaxWaitMicros : Math.max(longestMaxWaitMicros, newMaxWaitMicros);
        dueMicros = Math.max(dueMicros, nowMicros + newMaxWaitMicros);
        latestDueMicros = Math.max(latestDueMicros, dueMicros);
    }

    /** The placer has read the request: its time counts from now on. */
    void acknowledge(long nowMicros) {
        dueMicros = Math.max(dueMicros, nowMicros + maxWaitMicros);
        latestDueMicros = Math.max(latestDueMicros, nowMicros + longestMaxWaitMicros);
    }

    long dueMicros() {
        return dueMicros;
    }

    /** Never before {@link #dueMicros}; a result is late only after this. */
    long latestDueMicros() {
        return latestDueMicros;
    }
}
