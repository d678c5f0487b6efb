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
 * The record of one task over all its submissions. Two records are equal only if they are the same
 * object.
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

    /** Whether the task waits until machines report what they run, after a start of the placer. */
    private boolean awaitingInventory;

    /** Machine that may have run the task before the placer started; empty for none. */
    private String unreportedMachine = "";

    /** The request in the admission queue; null until the submission has reached the queue. */
    private QueuedRequest queuedRequest;

    /** The policy's last report about the request; null if there is none for this attempt. */
    private Pending policyReport;

    /** Machine of the open attempt, or of the placed task; empty for none. */
    private String machine = "";

    private PreviousAttempt previousAttempt = PreviousAttempt.NONE;

    /** Result of the last evaluation; null if there was none yet or the task is not waiting. */
    private Reason reason;

    /**
     * Creates the record of a task that is not known yet.
     *
     * @param maxHistory number of changes that the history retains
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

    /** Sets the result of the submission. */
    void complete(long nowMicros, State result, String placedMachine) {
        state = result;
        machine = placedMachine;
        reason = null;
        policyReport = null;
        history.add(new Change(nowMicros, result, null));
    }

    /** Sets the state of a placed task that has finished. */
    void finish(long nowMicros) {
        state = State.FINISHED;
        history.add(new Change(nowMicros, State.FINISHED, null));
    }

    void setEndedAt(long micros) {
        endedAtMicros = micros;
    }

    /** Sets the current reason; a change of its kind is added to the history. */
    void updateReason(long nowMicros, Diagnosis diagnosis) {
        boolean kindChanged = reason == null || reason.kind() != diagnosis.kind();
        reason = diagnosis.toReason(kindChanged ? nowMicros : reason.sinceMicros());
        if (kindChanged) {
            history.add(new Change(nowMicros, State.WAITING, reason));
        }
    }

    // Accessors.

    TaskKey key() {
        return key;
    }

    String owner() {
        return key.owner();
    }

    /** The name that the owner gave the task. */
    String name() {
        return key.taskName();
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

    /** Returns whether the current submission has reached the admission queue. */
    boolean isQueued() {
        return queuedRequest != null;
    }

    /** The request in the admission queue; null if the task is not queued. */
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

    /** Shape of the request; to be called only for a queued task. */
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

    /** Result of the last evaluation; null if there was none yet or the task is not waiting. */
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
        return new ReasonChanged(key.owner(), tenant, key.taskName());
    }
}
