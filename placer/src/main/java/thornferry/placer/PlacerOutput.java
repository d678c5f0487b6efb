package thornferry.placer;

import thornferry.decisions.diagnosis.PendingReasons;
import thornferry.decisions.requests.RequestTracker;
import thornferry.decisions.requests.ResultNotification;

/** What a {@link PlacerCore} sends to nodes and clients. Called on the event loop. */
interface PlacerOutput {
    /**
     * Sends an offer to a machine. A write that fails later is reported by {@link
     * PlacerCore#notWritten}.
     *
     * @return false if nothing was written
     */
    boolean offer(String machine, String attempt, RequestTracker.OfferDetails details);

    /** Asks a machine to drop an attempt, whatever its state there. */
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
     * @param retentionMicros how long the machine must remember attempts that ended there
     */
    void welcome(String machine, long retentionMicros);

    /** Notifies the owner of a task of a result or of the end of the task. */
    void notifyResult(ResultNotification notification);

    /** Closes a connection with an ERROR frame that carries {@code reason}. */
    void closeConnection(long connection, String reason);

    /** Called when the state of a task or its pending reason changed. */
    void reasonChanged(PendingReasons.ReasonChanged changed);
}
