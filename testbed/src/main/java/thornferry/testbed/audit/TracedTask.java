package thornferry.testbed.audit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/** A task as one client requested it from one placer. */
final class TracedTask {
    private final TaskKey key;
    private final TaskClass taskClass;
    private final RequestDeadline deadline = new RequestDeadline();
    private final List<TracedAttempt> attempts = new ArrayList<>();
    private String service = "";
    private String idempotencyKey = "";
    private int requestCount;
    private int resultCount;
    private boolean pending;
    private boolean acknowledged;
    private long requestLine;
    private long requestConnection;
    private long answeredAtMicros;
    private Optional<RequestOutcome> outcome = Optional.empty();
    private boolean placeLost;

    TracedTask(TaskKey key, TaskClass taskClass) {
        this.key = key;
        this.taskClass = taskClass;
    }

    TaskKey key() {
        return key;
    }

    String placer() {
        return key.placer();
    }

    TaskClass taskClass() {
        return taskClass;
    }

    Idempotency idempotency() {
        return taskClass.idempotency();
    }

    /** The name of the task in descriptions of violations. */
    String displayName() {
        return "task "
                + key.taskId()
                + " of "
                + key.owner().orElse(TaskKey.UNKNOWN_OWNER)
                + " at "
                + key.placer();
    }

    /** Counts a request, whether new or a retry. */
    void countRequest(String requestedService, String requestedKey) {
        requestCount++;
        service = requestedService;
        idempotencyKey = requestedKey;
    }

    /**
     * Whether the counted request is to have a result of its own, as the previous one is closed.
     */
    boolean isNewRequest() {
        return requestCount == 1 || mayBeRequestedAnew();
    }

    /** Whether it was rejected, or placed and then lost its place. */
    private boolean mayBeRequestedAnew() {
        return isRejected() || (placeLost && idempotency() != Idempotency.NON_IDEMPOTENT);
    }

    /** Whether a further request has been sent since the one whose result is known. */
    boolean isRequestedAnew() {
        return hasUnansweredRequest() && mayBeRequestedAnew();
    }

    boolean hasUnansweredRequest() {
        return requestCount > resultCount;
    }

    boolean hasMoreResultsThanRequests() {
        return resultCount > requestCount;
    }

    /**
     * A new request begins to wait.
     *
     * @param line its line in the capture
     * @param startMicros when the placer can read it at the earliest
     */
    void beginRequest(long line, long startMicros, long maxWaitMicros) {
        pending = true;
        acknowledged = false;
        requestLine = line;
        outcome = Optional.empty();
        placeLost = false;
        attempts.clear();
        deadline.begin(startMicros, maxWaitMicros);
    }

    /** The pending request is sent again, since its connection broke. */
    void resendRequest(long nowMicros, long maxWaitMicros) {
        deadline.resend(nowMicros, maxWaitMicros, acknowledged);
        acknowledged = false;
    }

    /** The placer has read the request: its time counts from now on. */
    void acknowledge(long nowMicros) {
        acknowledged = true;
        deadline.acknowledge(nowMicros);
    }

    void requestedOn(long connection) {
        requestConnection = connection;
    }

    /** The placer has rejected the only request as a frame; no result will come. */
    void dropOnlyRequest() {
        if (requestCount == 1 && resultCount == 0) {
            pending = false;
        }
    }

    /** A repeated notification answers the request: the first went to a connection that broke. */
    void answerByRepeat(RequestOutcome newOutcome) {
        pending = false;
        outcome = Optional.of(newOutcome);
    }

    void countResult() {
        resultCount++;
    }

    void answer(long nowMicros, Optional<RequestOutcome> newOutcome) {
        pending = false;
        outcome = newOutcome;
        answeredAtMicros = nowMicros;
        attempts.clear();
    }

    void taskEvent(FrameEvent.TaskEvent event) {
        placeLost = event == FrameEvent.TaskEvent.PLACE_LOST;
    }

    void addAttempt(TracedAttempt attempt) {
        attempts.add(attempt);
    }

    /** The attempts of the present request. */
    List<TracedAttempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    String service() {
        return service;
    }

    String idempotencyKey() {
        return idempotencyKey;
    }

    int requestCount() {
        return requestCount;
    }

    int resultCount() {
        return resultCount;
    }

    /** Whether a request waits for its result. */
    boolean isPending() {
        return pending;
    }

    /** Whether the receipt of the present request was seen. */
    boolean isAcknowledged() {
        return acknowledged;
    }

    long requestLine() {
        return requestLine;
    }

    /** Number of the connection of the latest request. */
    long requestConnection() {
        return requestConnection;
    }

    /** When the result of the present request is due. */
    RequestDeadline deadline() {
        return deadline;
    }

    long answeredAtMicros() {
        return answeredAtMicros;
    }

    boolean isRejected() {
        return outcome.equals(Optional.of(RequestOutcome.REJECTED));
    }

    /** The result of the latest answered request in the protocol's word; empty if none is known. */
    String outcomeName() {
        return outcome.map(RequestOutcome::protocolName).orElse("");
    }
}
