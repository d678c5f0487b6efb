package thornferry.testbed.audit;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** What one recorded frame means. */
sealed interface FrameEvent {
    /** A client or node logs in. */
    record LoggedIn(String login) implements FrameEvent {}

    /** A client subscribes to the results of its requests. */
    record ResultsSubscribed() implements FrameEvent {}

    /**
     * A client requests a task.
     *
     * @param maxWaitMicros how long it waits for the result; empty for the class's deadline
     * @param receipt the receipt that it asks for
     */
    record TaskRequested(
            String taskId,
            String taskClass,
            String service,
            String idempotencyKey,
            OptionalLong maxWaitMicros,
            Optional<String> receipt)
            implements FrameEvent {}

    /**
     * A node registers, with an inventory.
     *
     * @param held the attempts that it holds
     * @param recent reports of attempts that it held before
     */
    record NodeRegistered(
            String node,
            long incarnation,
            long uptimeMicros,
            String zone,
            int cell,
            List<HeldAttempt> held,
            List<AttemptReport> recent)
            implements FrameEvent {}

    /**
     * An attempt in a node's inventory.
     *
     * @param running whether it has started
     */
    record HeldAttempt(String attemptId, boolean running) {}

    /** A node reports on an attempt. */
    record AttemptReported(AttemptReport report) implements FrameEvent {}

    /**
     * An operator drains a node or ends the drain.
     *
     * @param draining whether it begins
     * @param receipt the receipt that the operator asks for
     */
    record DrainRequested(String node, boolean draining, Optional<String> receipt)
            implements FrameEvent {}

    /** The placer confirms that it has taken a frame. */
    record ReceiptSent(String receipt) implements FrameEvent {}

    /** The placer rejects a frame and ends the connection. */
    record ErrorSent(String receipt) implements FrameEvent {}

    /**
     * The placer notifies a client of a result, or of a later event of a placed task.
     *
     * @param messageId the same for each session that is sent the notification
     * @param content what is said of the task; equal if and only if the notification says the same
     * @param outcome the result, if there is one
     * @param event the later event, if there is one
     * @param repeated whether it was sent before
     */
    record ClientNotified(
            String taskId,
            String messageId,
            String content,
            Optional<RequestOutcome> outcome,
            Optional<TaskEvent> event,
            boolean repeated)
            implements FrameEvent {}

    /** What happens to a placed task. */
    enum TaskEvent {
        /** It lost its place by no fault of its own: its client may request it anew. */
        PLACE_LOST,
        OTHER
    }

    /** The placer offers a task to a node. */
    record TaskOffered(String node, String attemptId, String owner, String taskId)
            implements FrameEvent {}

    /** The placer withdraws an offer. */
    record OfferWithdrawn(String attemptId) implements FrameEvent {}

    /** A frame on which no rule depends. */
    record Other() implements FrameEvent {}
}
