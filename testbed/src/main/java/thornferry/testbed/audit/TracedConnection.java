package thornferry.testbed.audit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** A connection of a client or node to a placer, as far as the capture shows it. */
final class TracedConnection {
    private final long number;
    private final String placer;
    private final Map<String, TaskKey> requestByReceipt = new HashMap<>();
    private Optional<String> login = Optional.empty();
    private OptionalLong subscribedAtMicros = OptionalLong.empty();
    private boolean registeredByNode;
    private boolean endedByError;
    private long slowReaderUntilMicros;

    TracedConnection(long number, String placer) {
        this.number = number;
        this.placer = placer;
    }

    long number() {
        return number;
    }

    String placer() {
        return placer;
    }

    Optional<String> login() {
        return login;
    }

    void logIn(String name) {
        login = Optional.of(name);
    }

    /** The key of a task that is requested on this connection. */
    TaskKey taskKey(String taskId) {
        return new TaskKey(placer, login, taskId);
    }

    void subscribeToResults(long nowMicros) {
        subscribedAtMicros = OptionalLong.of(nowMicros);
    }

    boolean isSubscribedToResults() {
        return subscribedAtMicros.isPresent();
    }

    /** Whether results were sent here before that time; also where no subscription was recorded. */
    boolean receivedResultsBefore(long micros) {
        return subscribedAtMicros.orElse(0) < micros;
    }

    void registerNode() {
        registeredByNode = true;
    }

    boolean isOfNode() {
        return registeredByNode;
    }

    /** The placer has sent an ERROR; it reads nothing more on this connection. */
    void endByError() {
        endedByError = true;
    }

    boolean isEndedByError() {
        return endedByError;
    }

    /** The proxy itself holds back until then what the placer sends. */
    void slowReaderUntil(long micros) {
        slowReaderUntilMicros = micros;
    }

    long slowReaderUntilMicros() {
        return slowReaderUntilMicros;
    }

    void requestReceipt(String receipt, TaskKey task) {
        requestByReceipt.put(receipt, task);
    }

    Optional<TaskKey> requestOfReceipt(String receipt) {
        return Optional.ofNullable(requestByReceipt.get(receipt));
    }
}
