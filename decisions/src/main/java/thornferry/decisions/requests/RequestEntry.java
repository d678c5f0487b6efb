package thornferry.decisions.requests;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.requests.RequestTracker.OfferDetails;

/** A requested task, with the state of its latest request and the notifications of its owner. */
final class RequestEntry {
    private final String key;
    private final String owner;
    private final String tenant;
    private final TaskClass taskClass;
    private TaskSpec spec;
    private RequestState state = RequestState.NEW;
    private String requestId; // null until dispatched or adopted
    private long deadlineMicros;
    private int offerCount; // since the last dispatch
    private int dispatchCount; // over all requests for the task
    private String lastRejection = "";
    private String lastRejectedBy = "";
    private ResultNotification result;
    private ResultNotification termination;
    private TerminationCause terminationCause; // null until the placed task has terminated
    private long expiresAtMicros;

    RequestEntry(OwnedTask task, TaskClass taskClass) {
        this.key = task.key();
        this.owner = task.owner();
        this.tenant = task.tenant();
        this.spec = task.spec();
        this.taskClass = taskClass;
    }

    /**
     * Begins a new request for the task, the first one or one after the end of the previous one.
     */
    void submit(TaskSpec newSpec, long newDeadlineMicros) {
        spec = newSpec;
        deadlineMicros = newDeadlineMicros;
        terminationCause = null;
        termination = null;
    }

    /** Records that the request is accepted and not dispatched yet. */
    void defer(RequestState newState) {
        changeState(newState);
        requestId = null;
    }

    /**
     * Records the proof that the task has not run. The request then waits only for the end of the
     * settling time after the placer's start.
     */
    void markProvenNotRun() {
        changeState(RequestState.SETTLING);
    }

    /**
     * Records that the request is given to the policy. The caller assigns a new request id next.
     *
     * @return whether a request for this task was given to the policy before
     */
    boolean dispatch() {
        changeState(RequestState.DISPATCHED);
        offerCount = 0;
        return dispatchCount++ > 0;
    }

    void complete(ResultNotification newResult) {
        changeState(RequestState.of(newResult.result()));
        result = newResult;
        terminationCause = null;
    }

    /** Records a result that an earlier incarnation gave for a placed task, which may still run. */
    void restoreUnconfirmed(ResultNotification earlierResult) {
        changeState(RequestState.PLACED_UNCONFIRMED);
        result = earlierResult;
    }

    /** Records the termination of the placed task. */
    void finish(ResultNotification newTermination) {
        changeState(RequestState.FINISHED);
        termination = newTermination;
        terminationCause = newTermination.terminationCause();
    }

    private void changeState(RequestState next) {
        assert state.canTransitionTo(next) : key + " cannot change to " + next + " from " + state;
        state = next;
    }

    /**
     * Returns whether a further request for the task is a new request. That is the case after a
     * rejection, and for a task that was placed and then lost, evicted or migrated, unless it is
     * non-idempotent: such a task has started and must not start again under the same id.
     */
    boolean mayBeResubmitted() {
        if (state != RequestState.FINISHED) {
            return state == RequestState.REJECTED;
        }
        return taskClass.idempotency() != Idempotency.NON_IDEMPOTENT
                && (terminationCause == TerminationCause.LOST
                        || terminationCause == TerminationCause.EVICTED
                        || terminationCause == TerminationCause.MIGRATED);
    }

    /** Records that a machine rejected an offer, which may become the reason of the result. */
    void offerRejected(String machine, OutcomeReason reason) {
        lastRejection = RequestMessages.rejectedLastBy(machine, reason);
        lastRejectedBy = machine;
    }

    void clearLastRejection() {
        lastRejection = "";
    }

    /** Returns the details of the next offer and counts that offer. */
    OfferDetails nextOffer() {
        OfferDetails details = offerDetails();
        offerCount++;
        return details;
    }

    OfferDetails offerDetails() {
        return new OfferDetails(owner, spec, taskClass.idempotency(), offerCount);
    }

    void replaceNotifications(ResultNotification newResult, ResultNotification newTermination) {
        result = newResult;
        termination = newTermination;
    }

    void assignRequestId(String newRequestId) {
        requestId = newRequestId;
    }

    void expireAt(long atMicros) {
        expiresAtMicros = atMicros;
    }

    boolean isPending() {
        return state.isPending();
    }

    String key() {
        return key;
    }

    String owner() {
        return owner;
    }

    String tenant() {
        return tenant;
    }

    TaskClass taskClass() {
        return taskClass;
    }

    Idempotency idempotency() {
        return taskClass.idempotency();
    }

    TaskSpec spec() {
        return spec;
    }

    RequestState state() {
        return state;
    }

    String requestId() {
        return requestId;
    }

    long deadlineMicros() {
        return deadlineMicros;
    }

    /** Returns how often requests for the task were given to the policy. */
    int dispatchCount() {
        return dispatchCount;
    }

    /**
     * Returns the reason of the last rejected offer as a sentence for the owner, empty for none.
     */
    String lastRejection() {
        return lastRejection;
    }

    /** Returns the machine that last rejected an offer, empty for none. */
    String lastRejectedBy() {
        return lastRejectedBy;
    }

    /** Returns the notification of the latest result, or null before the first. */
    ResultNotification result() {
        return result;
    }

    /** Returns the notification of the task's termination, or null if it has not terminated. */
    ResultNotification termination() {
        return termination;
    }

    /** Returns the time at which the retention of the result ends. */
    long expiresAtMicros() {
        return expiresAtMicros;
    }
}
