package thornferry.placer;

import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;

/**
 * The output of a {@link PlacerCore} to nodes and clients. All methods are called on the event
 * loop.
 */
interface PlacerOutput {
    /**
     * Sends an offer to a machine. A write that fails later is reported by {@link
     * PlacerCore#notWritten}.
     *
     * @return false if nothing was written
     */
    boolean offer(String machine, String attempt, RequestTracker.OfferDetails details);

    /** Orders a machine to cancel an attempt, whatever the state of the attempt there. */
    void cancelAttempt(String machine, String attempt);

    /**
     * Sends a health check.
     *
     * @return false if nothing was written
     */
    boolean checkHealth(String machine, long number);

    /** Notifies a machine that it is draining, or no longer is. */
    void notifyDrain(String machine, boolean draining);

    /**
     * Notifies a machine that its registration was accepted.
     *
     * @param retentionMicros the time for which the machine must remember finished attempts
     */
    void welcome(String machine, long retentionMicros);

    /** Notifies the owner of a task of a result or of the end of the task. */
    void notifyResult(ResultNotification notification);

    /** Closes a connection with an ERROR frame that carries {@code reason}. */
    void closeConnection(long connection, String reason);

    /** Notifies the owner of a task that its state or its pending reason changed. */
    void reasonChanged(PendingReasons.ReasonChanged changed);
}
