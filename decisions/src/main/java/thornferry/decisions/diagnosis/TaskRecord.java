package thornferry.decisions.diagnosis;

import java.util.List;
import java.util.Optional;
import thornferry.decisions.admission.QueuedRequest;
import thornferry.decisions.diagnosis.PendingReasons.Change;
import thornferry.decisions.diagnosis.PendingReasons.Reason;
import thornferry.decisions.diagnosis.PendingReasons.ReasonChanged;
import thornferry.decisions.diagnosis.PendingReasons.State;
import thornferry.decisions.membership.RejectionReason;
import thornferry.decisions.placement.Placement.AttemptOutcome;
import thornferry.decisions.placement.Placement.Pending;

/**
 * What is recorded about one task, over all its submissions. Two records are equal only if they are
 * the same object.
 */
final class TaskRecord {
    private final TaskKey key;
    private final ChangeHistory history;
    private State state = State.WAITING;
    private String tenant = "";
    private String idempotencyKey = "";
    private boolean idempotentWithKey;
    private long waitingSinceMicros;
    private int submissions;
    private int attempts;
    private long endedAtMicros;

    /** Whether the task waits for machines to report their tasks after a start of the placer. */
    private boolean awaitingInventory;

    /** Machine that may have run the task before that start; empty for none. */
    private String unreportedMachine = "";

    /** The request in the admission queue; null until the submission has reached the queue. */
    private QueuedRequest queuedRequest;

    /** The policy's last report about the request; null if there is none for this attempt. */
    private Pending policyReport;

    /** Machine of the open attempt, or of the placed task; empty for none. */
    private String machine = "";

    private PreviousAttempt previousAttempt = PreviousAttempt.NONE;

    /** Null before the first evaluation, and unless the task is waiting. */
    private Reason reason;

    /**
     * A task that is known from now on.
     *
     * @param maxHistory changes that its history retains
     */
    TaskRecord(TaskKey key, long nowMicros, int maxHistory) {
        this.key = key;
        this.waitingSinceMicros = nowMicros;
        this.history = new ChangeHistory(maxHistory);
    }

    // Events.

    void submit(long nowMicros, TaskSubmission submission) {
        state = State.WAITING;
        tenant = submission.tenant();
        idempotencyKey = submission.idempotencyKey();
        idempotentWithKey = submission.idempotentWithKey();
        waitingSinceMicros = nowMicros;
        submissions++;
        awaitingInventory = submission.awaitingInventory();
        unreportedMachine = submission.unreportedMachine();
        queuedRequest = null;
        policyReport = null;
        machine = "";
        previousAttempt = PreviousAttempt.NONE;
        reason = null;
    }

    void enterQueue(QueuedRequest request) {
        queuedRequest = request;
        awaitingInventory = false;
    }

    void setPolicyReport(Pending report) {
        policyReport = report;
    }

    void startAttempt(String attemptMachine) {
        machine = attemptMachine;
        attempts++;
        policyReport = null;
    }

    void rejectOffer(String rejectingMachine, RejectionReason rejection) {
        previousAttempt = previousAttempt.withRejection(rejectingMachine, rejection);
    }

    void endAttempt(String attemptMachine, AttemptOutcome outcome) {
        previousAttempt = previousAttempt.withOutcome(attemptMachine, outcome);
        machine = "";
    }

    /** The result of the submission is known. */
    void complete(long nowMicros, State result, String placedMachine) {
        state = result;
        machine = placedMachine;
        reason = null;
        policyReport = null;
        history.add(new Change(nowMicros, result, null));
    }

    /** The placed task has finished. */
    void finish(long nowMicros) {
        state = State.FINISHED;
        history.add(new Change(nowMicros, State.FINISHED, null));
    }

    void setEndedAt(long micros) {
        endedAtMicros = micros;
    }

    /** Sets the present reason; a change of its kind is added to the history. */
    void updateReason(long nowMicros, Diagnosis diagnosis) {
        boolean kindChanged = reason == null || reason.kind() != diagnosis.kind();
        reason = diagnosis.since(kindChanged ? nowMicros : reason.sinceMicros());
        if (kindChanged) {
            history.add(new Change(nowMicros, State.WAITING, reason));
        }
    }

    // Values.

    TaskKey key() {
        return key;
    }

    String owner() {
        return key.owner();
    }

    /** The owner's name for the task. */
    String name() {
        return key.task();
    }

    String tenant() {
        return tenant;
    }

    String idempotencyKey() {
        return idempotencyKey;
    }

    boolean isIdempotentWithKey() {
        return idempotentWithKey;
    }

    State state() {
        return state;
    }

    boolean isWaiting() {
        return state == State.WAITING;
    }

    boolean isAwaitingInventory() {
        return awaitingInventory;
    }

    String unreportedMachine() {
        return unreportedMachine;
    }

    /** Whether this submission has reached the admission queue. */
    boolean isQueued() {
        return queuedRequest != null;
    }

    /** The request in the admission queue; only for a queued task. */
    QueuedRequest queuedRequest() {
        return queuedRequest;
    }

    Optional<String> requestId() {
        return Optional.ofNullable(queuedRequest).map(QueuedRequest::requestId);
    }

    /** Task class; empty until the task is queued. */
    String taskClass() {
        return queuedRequest == null ? "" : queuedRequest.taskClass();
    }

    /** Shape of the request; only for a queued task. */
    RequestShape requestShape() {
        return RequestShape.of(queuedRequest);
    }

    Optional<Pending> policyReport() {
        return Optional.ofNullable(policyReport);
    }

    /** Machine of the open attempt, or of the placed task; empty for none. */
    String machine() {
        return machine;
    }

    PreviousAttempt previousAttempt() {
        return previousAttempt;
    }

    /** The reason of the last evaluation, or null. */
    Reason reason() {
        return reason;
    }

    long waitingSinceMicros() {
        return waitingSinceMicros;
    }

    int submissions() {
        return submissions;
    }

    int attempts() {
        return attempts;
    }

    long endedAtMicros() {
        return endedAtMicros;
    }

    List<Change> history() {
        return history.toList();
    }

    ReasonChanged toNotification() {
        return new ReasonChanged(key.owner(), tenant, key.task());
    }
}
