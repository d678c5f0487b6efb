package thornferry.decisions.requests;

import thornferry.decisions.attempts.TerminationCause;
import thornferry.decisions.placement.Placement.Idempotency;
import thornferry.decisions.placement.Placement.OutcomeReason;
import thornferry.decisions.placement.Placement.TaskClass;
import thornferry.decisions.requests.RequestTracker.OfferDetails;

/**
 * A task that was requested: the state of its latest request, and what its owner was notified of.
 */
final class RequestEntry {
    private final String key;
    private final String owner;
    private final String tenant;
    private final TaskClass taskClass;
    private TaskSpec spec;
    private RequestState state = RequestState.NEW;
    private String requestId; // null until dispatched or adopted
    private long deadlineMicros;
    private int offerCount; // since it was last dispatched
    private int dispatchCount; // of all requests for the task
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

    /** A request for the task is submitted, or submitted again after its end. */
    void submit(TaskSpec newSpec, long newDeadlineMicros) {
        spec = newSpec;
        deadlineMicros = newDeadlineMicros;
        terminationCause = null;
        termination = null;
    }

    /** The request is accepted but not dispatched yet. */
    void defer(RequestState newState) {
        changeState(newState);
        requestId = null;
    }

    /**
     * It is proven that the task has not run; only the time after the start is to be waited for.
     */
    void proveNotRun() {
        changeState(RequestState.SETTLING);
    }

    /**
     * The request is given to the policy, under a request id that is set next.
     *
     * @return whether one was given to it for this task before
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

    /** The result was given by an earlier incarnation of the placer, and the task may still run. */
    void restoreUnconfirmed(ResultNotification earlierResult) {
        changeState(RequestState.PLACED_UNCONFIRMED);
        result = earlierResult;
    }

    /** The placed task has terminated. */
    void finish(ResultNotification newTermination) {
        changeState(RequestState.FINISHED);
        termination = newTermination;
        terminationCause = newTermination.terminationCause();
    }

    private void changeState(RequestState next) {
        assert state.canBecome(next) : key + " cannot become " + next + " from " + state;
        state = next;
    }

    /**
     * Whether a request for the task is a new one. The owner may well request a task again that was
     * placed and then lost, evicted or migrated; but not a non-idempotent one under the same name,
     * for that one did start.
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

    /** A machine has rejected an offer, which may become the reason of a later rejection. */
    void offerRejected(String machine, OutcomeReason reason) {
        lastRejection = RequestMessages.rejectedLastBy(machine, reason);
        lastRejectedBy = machine;
    }

    void clearLastRejection() {
        lastRejection = "";
    }

    /** The details for the next offer, which is counted. */
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

    /** How often requests for the task were given to the policy. */
    int dispatchCount() {
        return dispatchCount;
    }

    /** Why a machine last rejected an offer, as a sentence for the owner; empty for never. */
    String lastRejection() {
        return lastRejection;
    }

    /** The machine that last rejected an offer, empty for none. */
    String lastRejectedBy() {
        return lastRejectedBy;
    }

    /** The notification of the latest result, or null before the first. */
    ResultNotification result() {
        return result;
    }

    /** The notification of the termination, or null where the latest request has not led to one. */
    ResultNotification termination() {
        return termination;
    }

    /** When the result need not be retained any longer. */
    long expiresAtMicros() {
        return expiresAtMicros;
    }
}
