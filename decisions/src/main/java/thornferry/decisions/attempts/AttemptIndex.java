package thornferry.decisions.attempts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All attempts without an outcome, by attempt, request and machine, and the machines of the latest
 * attempts that have one. Iteration is in the order of insertion.
 */
final class AttemptIndex {
    /**
     * So many ended attempts are remembered, the latest ones. Without them a report that arrives
     * after the end of its attempt would be taken for a protocol violation.
     */
    private static final int MAX_ENDED_ATTEMPTS = 50_000;

    private final Map<String, Attempt> byId = new LinkedHashMap<>();
    private final Map<String, Attempt> byRequest = new HashMap<>();
    private final Map<String, Map<String, Attempt>> byMachine = new HashMap<>();

    /** Open ones only, so that a search for expired offers need not look at running tasks. */
    private final Map<String, Attempt> open = new LinkedHashMap<>();

    private final Map<String, String> machineOfEnded = new LinkedHashMap<>(); // by attempt

    void add(Attempt attempt) {
        byId.put(attempt.id(), attempt);
        byRequest.put(attempt.requestId(), attempt);
        byMachine
                .computeIfAbsent(attempt.machine(), machine -> new LinkedHashMap<>())
                .put(attempt.id(), attempt);
        if (attempt.isOpen()) {
            open.put(attempt.id(), attempt);
        }
    }

    /** The attempt was admitted: it is in no danger of expiring any more. */
    void markPlaced(Attempt attempt) {
        attempt.becomePlaced();
        open.remove(attempt.id());
    }

    /** The attempt has an outcome; of it only its machine is remembered. */
    void remove(Attempt attempt) {
        byId.remove(attempt.id());
        byRequest.remove(attempt.requestId(), attempt);
        byMachine.get(attempt.machine()).remove(attempt.id());
        open.remove(attempt.id());
        machineOfEnded.put(attempt.id(), attempt.machine());
        if (machineOfEnded.size() > MAX_ENDED_ATTEMPTS) {
            machineOfEnded.remove(machineOfEnded.keySet().iterator().next());
        }
    }

    /** The attempt, or null where it is unknown or has an outcome. */
    Attempt find(String attemptId) {
        return byId.get(attemptId);
    }

    /** The latest attempt of the request, or null where it has an outcome. */
    Attempt findByRequest(String requestId) {
        return byRequest.get(requestId);
    }

    /** The machine that the attempt was offered to, or null where that is not remembered. */
    String machineOf(String attemptId) {
        Attempt attempt = byId.get(attemptId);
        return attempt == null ? machineOfEnded.get(attemptId) : attempt.machine();
    }

    boolean contains(Attempt attempt) {
        return byId.get(attempt.id()) == attempt;
    }

    boolean isOpen(String attemptId) {
        return open.containsKey(attemptId);
    }

    /** A copy: the index may change while a caller iterates over it. */
    List<Attempt> openAttempts() {
        return open.isEmpty() ? List.of() : new ArrayList<>(open.values());
    }

    /** A copy: the index may change while a caller iterates over it. */
    List<Attempt> onMachine(String machine) {
        return new ArrayList<>(byMachine.getOrDefault(machine, Map.of()).values());
    }

    int countOnMachine(String machine) {
        return byMachine.getOrDefault(machine, Map.of()).size();
    }

    int size() {
        return byId.size();
    }
}
