package thornferry.decisions.admission;

import java.util.Comparator;
import thornferry.decisions.admission.AdmissionQueue.Stage;

/** The state of a request in admission control, from its arrival until its task has ended. */
final class QueueEntry {
    /**
     * Minimum time before its deadline at which a request may still be dispatched. The policy
     * answers 40 ms before the deadline, so a later dispatch cannot succeed.
     */
    static final long DISPATCH_MARGIN_MICROS = 60_000;

    /** Orders entries by age, oldest first. */
    static final Comparator<QueueEntry> BY_AGE =
            Comparator.comparingLong(entry -> entry.sequenceNumber);

    /**
     * Orders entries by priority weight, highest first. Among equal weights, new requests come
     * before retries, so that a burst of retries takes only the capacity that new requests leave
     * over; then the earliest deadline comes first, then the oldest entry.
     */
    static final Comparator<QueueEntry> BY_PRIORITY =
            Comparator.<QueueEntry>comparingDouble(entry -> -entry.request.priorityWeight())
                    .thenComparing(entry -> entry.request.isRetry())
                    .thenComparingLong(entry -> entry.request.deadlineMicros())
                    .thenComparing(BY_AGE);

    /** The reason for which an entry backs off. */
    enum BackoffCause {
        /** The entry does not back off. */
        NONE,
        /** The policy found no machine with enough free capacity. */
        NO_CAPACITY,
        /** The request is a retry beyond the retry budget. */
        RETRY_BUDGET
    }

    private final QueuedRequest request;
    private final OwnerQueue owner;
    private final long sequenceNumber;
    private final long arrivedAtMicros;
    private final boolean fitsSomeMachine;
    private Stage stage = Stage.QUEUED;

    /** The furthest stage that the entry has reached, up to {@link Stage#OFFERED}. */
    private Stage furthestStage = Stage.QUEUED;

    private BackoffCause backoffCause = BackoffCause.NONE;
    private long backoffUntilMicros;
    private long dispatchedAtMicros;
    private int recallCount;

    /**
     * @param sequenceNumber number that increases with each arrival
     * @param fitsSomeMachine whether any machine known at arrival is large enough for the task
     */
    QueueEntry(
            QueuedRequest request,
            OwnerQueue owner,
            long sequenceNumber,
            long arrivedAtMicros,
            boolean fitsSomeMachine) {
        this.request = request;
        this.owner = owner;
        this.sequenceNumber = sequenceNumber;
        this.arrivedAtMicros = arrivedAtMicros;
        this.fitsSomeMachine = fitsSomeMachine;
    }

    QueuedRequest request() {
        return request;
    }

    String requestId() {
        return request.requestId();
    }

    OwnerQueue owner() {
        return owner;
    }

    TenantQueue tenant() {
        return owner.tenant();
    }

    long arrivedAtMicros() {
        return arrivedAtMicros;
    }

    /** Returns whether any machine known at arrival is large enough for the task. */
    boolean fitsSomeMachine() {
        return fitsSomeMachine;
    }

    Stage stage() {
        return stage;
    }

    void moveTo(Stage newStage) {
        stage = newStage;
        if (newStage != Stage.PLACED && newStage.compareTo(furthestStage) > 0) {
            furthestStage = newStage;
        }
    }

    /** Returns whether the request waits for dispatch, in the queue or backing off. */
    boolean isWaiting() {
        return stage == Stage.QUEUED || stage == Stage.BACKING_OFF;
    }

    /** Returns whether the request has ever been dispatched to the policy. */
    boolean wasDispatched() {
        return furthestStage.compareTo(Stage.DISPATCHED) >= 0;
    }

    /** Returns whether the request has ever been offered to a machine. */
    boolean wasOffered() {
        return furthestStage.compareTo(Stage.OFFERED) >= 0;
    }

    void markDispatched(long nowMicros) {
        moveTo(Stage.DISPATCHED);
        dispatchedAtMicros = nowMicros;
    }

    /** Returns the time of the last dispatch or, if later, the end of the last attempt. */
    long dispatchedAtMicros() {
        return dispatchedAtMicros;
    }

    void backOff(long untilMicros, BackoffCause cause) {
        moveTo(Stage.BACKING_OFF);
        backoffUntilMicros = untilMicros;
        backoffCause = cause;
    }

    void endBackoff() {
        backoffCause = BackoffCause.NONE;
    }

    /** Returns the end of the latest backoff; 0 if the request never backed off. */
    long backoffUntilMicros() {
        return backoffUntilMicros;
    }

    boolean exceedsRetryBudget() {
        return backoffCause == BackoffCause.RETRY_BUDGET;
    }

    /** Counts a recall and returns the number of earlier ones. */
    int countRecall() {
        return recallCount++;
    }

    /** Returns the fraction of the time from arrival to deadline that has passed. */
    double waitedFraction(long nowMicros) {
        return (nowMicros - arrivedAtMicros) / (double) Math.max(1, maxWaitMicros());
    }

    /** Returns the time from arrival to deadline. */
    long maxWaitMicros() {
        return request.deadlineMicros() - arrivedAtMicros;
    }

    /** Returns the latest time at which a dispatch can still succeed. */
    long latestDispatchMicros() {
        return request.deadlineMicros() - DISPATCH_MARGIN_MICROS;
    }

    /** Returns the latest end of a backoff that leaves enough time for a dispatch afterwards. */
    long latestBackoffEndMicros() {
        return request.deadlineMicros() - 2 * DISPATCH_MARGIN_MICROS;
    }
}
