package thornferry.decisions.attempts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An index of all attempts without an outcome by attempt id, request id and machine. For the latest
 * attempts that have an outcome, only the machine is stored. Iteration is in insertion order.
 */
final class AttemptIndex {
    /**
     * The number of ended attempts that are remembered; the oldest are dropped first. A report that
     * arrives after the end of a remembered attempt is not taken for a protocol violation.
     */
    private static final int MAX_ENDED_ATTEMPTS = 50_000;

    private final Map<String, Attempt> byId = new LinkedHashMap<>();
    private final Map<String, Attempt> byRequestId = new HashMap<>();
    private final Map<String, Map<String, Attempt>> byMachine = new HashMap<>();

    /** The open attempts only, so that a search for expired offers does not visit running tasks. */
    private final Map<String, Attempt> openById = new LinkedHashMap<>();

    /** The machines of the latest ended attempts, by attempt id. */
    private final Map<String, String> machineByEndedAttempt = new LinkedHashMap<>();

    void add(Attempt attempt) {
        byId.put(attempt.id(), attempt);
        byRequestId.put(attempt.requestId(), attempt);
        byMachine
                .computeIfAbsent(attempt.machine(), machine -> new LinkedHashMap<>())
                .put(attempt.id(), attempt);
        if (attempt.isOpen()) {
            openById.put(attempt.id(), attempt);
        }
    }

    /** Marks the attempt as placed; its offer no longer expires. */
    void markPlaced(Attempt attempt) {
        attempt.markPlaced();
        openById.remove(attempt.id());
    }

    /** Removes an attempt that has an outcome; only its machine is remembered. */
    void remove(Attempt attempt) {
        byId.remove(attempt.id());
        byRequestId.remove(attempt.requestId(), attempt);
        byMachine.get(attempt.machine()).remove(attempt.id());
        openById.remove(attempt.id());
        machineByEndedAttempt.put(attempt.id(), attempt.machine());
        if (machineByEndedAttempt.size() > MAX_ENDED_ATTEMPTS) {
            machineByEndedAttempt.remove(machineByEndedAttempt.keySet().iterator().next());
        }
    }

    /** Returns the attempt, or null if it is unknown or has an outcome. */
    Attempt find(String attemptId) {
        return byId.get(attemptId);
    }

    /** Returns the latest attempt of the request, or null if there is none or it has an outcome. */
    Attempt findByRequest(String requestId) {
        return byRequestId.get(requestId);
    }

    /** Returns the machine that the attempt was offered to, or null if it is not remembered. */
    String machineOf(String attemptId) {
        Attempt attempt = byId.get(attemptId);
        return attempt == null ? machineByEndedAttempt.get(attemptId) : attempt.machine();
    }

    boolean contains(Attempt attempt) {
        return byId.get(attempt.id()) == attempt;
    }

    boolean isOpen(String attemptId) {
        return openById.containsKey(attemptId);
    }

    /** Returns a copy, as the index may change while a caller iterates over the attempts. */
    List<Attempt> openAttempts() {
        return openById.isEmpty() ? List.of() : new ArrayList<>(openById.values());
    }

    /** Returns a copy, as the index may change while a caller iterates over the attempts. */
    List<Attempt> attemptsOnMachine(String machine) {
        return new ArrayList<>(byMachine.getOrDefault(machine, Map.of()).values());
    }

    int countOnMachine(String machine) {
        return byMachine.getOrDefault(machine, Map.of()).size();
    }

    int size() {
        return byId.size();
    }
}
