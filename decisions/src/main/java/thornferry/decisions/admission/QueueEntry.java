package thornferry.decisions.admission;

import java.util.Comparator;
import thornferry.decisions.admission.AdmissionQueue.Stage;

/** A request in the hands of admission control, from its arrival until its task has ended. */
final class QueueEntry {
    /**
     * The policy answers 40 ms before the deadline, so a request that has less than this left
     * cannot be dispatched any more.
     */
    static final long DISPATCH_MARGIN_MICROS = 60_000;

    /** Oldest first. */
    static final Comparator<QueueEntry> BY_AGE =
            Comparator.comparingLong(entry -> entry.sequenceNumber);

    /**
     * Highest priority weight first; among equals new requests before retries, so that a wave of
     * retries takes only the capacity that new requests leave; then the earliest deadline, then the
     * oldest.
     */
    static final Comparator<QueueEntry> BY_PRIORITY =
            Comparator.<QueueEntry>comparingDouble(entry -> -entry.request.priorityWeight())
                    .thenComparing(entry -> entry.request.retry())
                    .thenComparingLong(entry -> entry.request.deadlineMicros())
                    .thenComparing(BY_AGE);

    /** Why an entry backs off. */
    enum BackoffCause {
        /** It does not back off. */
        NONE,
        /** The policy found no machine with enough free capacity. */
        NO_CAPACITY,
        /** It is a retry beyond the retry budget. */
        RETRY_BUDGET
    }

    private final QueuedRequest request;
    private final OwnerQueue owner;
    private final long sequenceNumber;
    private final long arrivedAtMicros;
    private final boolean fitsSomeMachine;
    private Stage stage = Stage.QUEUED;

    /** The furthest stage that it has reached, up to {@link Stage#OFFERED}. */
    private Stage furthestStage = Stage.QUEUED;

    private BackoffCause backoffCause = BackoffCause.NONE;
    private long backoffUntilMicros;
    private long dispatchedAtMicros;
    private int recallCount;

    /**
     * @param sequenceNumber ascends with arrival
     * @param fitsSomeMachine whether any machine known at arrival is large enough
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

    /** Whether any machine known at arrival is large enough for the task. */
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

    /** Whether it waits for dispatch, in the queue or backing off. */
    boolean isWaiting() {
        return stage == Stage.QUEUED || stage == Stage.BACKING_OFF;
    }

    /** Whether the policy has received it, now or before. */
    boolean wasDispatched() {
        return furthestStage.compareTo(Stage.DISPATCHED) >= 0;
    }

    /** Whether a machine has received an attempt of it, now or before. */
    boolean wasOffered() {
        return furthestStage.compareTo(Stage.OFFERED) >= 0;
    }

    void dispatched(long nowMicros) {
        moveTo(Stage.DISPATCHED);
        dispatchedAtMicros = nowMicros;
    }

    /** When the policy received it last, or its last attempt ended. */
    long dispatchedAtMicros() {
        return dispatchedAtMicros;
    }

    void backOff(long untilMicros, BackoffCause cause) {
        moveTo(Stage.BACKING_OFF);
        backoffUntilMicros = untilMicros;
        backoffCause = cause;
    }

    void backoffEnded() {
        backoffCause = BackoffCause.NONE;
    }

    /** When its latest backoff ends; 0 if it never backed off. */
    long backoffUntilMicros() {
        return backoffUntilMicros;
    }

    boolean exceedsRetryBudget() {
        return backoffCause == BackoffCause.RETRY_BUDGET;
    }

    /** Counts a recall; returns how many came before it. */
    int countRecall() {
        return recallCount++;
    }

    /** Fraction of the time from arrival to deadline that has passed. */
    double waitedFraction(long nowMicros) {
        return (nowMicros - arrivedAtMicros) / (double) Math.max(1, maxWaitMicros());
    }

    /** Time from arrival to deadline. */
    long maxWaitMicros() {
        return request.deadlineMicros() - arrivedAtMicros;
    }

    /** The last time at which a dispatch can still succeed. */
    long latestDispatchMicros() {
        return request.deadlineMicros() - DISPATCH_MARGIN_MICROS;
    }

    /** The last time until which it may back off and still be dispatched in time afterwards. */
    long latestBackoffMicros() {
        return request.deadlineMicros() - 2 * DISPATCH_MARGIN_MICROS;
    }
}
