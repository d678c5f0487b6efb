package thornferry.decisions.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.attempts.TerminationCause;

/** Creates the notifications of owners and keeps them until they are delivered. */
final class PendingNotifications {
    /**
     * The maximum number of pending notifications of an owner. Beyond it, the oldest are dropped; a
     * repeated request still returns their results.
     */
    private static final int MAX_PENDING_PER_OWNER = 10_000;

    private final Map<String, LinkedHashMap<Long, ResultNotification>> byOwner = new HashMap<>();
    private long lastSequence;

    // ---- creation ----
    ResultNotification createResult(RequestEntry entry, RequestOutcome outcome, boolean repeated) {
        return new ResultNotification(
                ++lastSequence,
                entry.owner(),
                entry.spec().id(),
                outcome.result(),
                null,
                outcome.machine(),
                outcome.reason(),
                outcome.retryAfterMicros(),
                repeated);
    }

    ResultNotification createTermination(
            RequestEntry entry, String machine, TerminationCause cause, boolean repeated) {
        return new ResultNotification(
                ++lastSequence,
                entry.owner(),
                entry.spec().id(),
                null,
                cause,
                machine,
                "",
                0,
                repeated);
    }

    /** Creates a copy of the notification that is marked as repeated. */
    ResultNotification createRepeated(ResultNotification original) {
        return new ResultNotification(
                ++lastSequence,
                original.owner(),
                original.task(),
                original.result(),
                original.terminationCause(),
                original.machine(),
                original.reason(),
                original.retryAfterMicros(),
                true);
    }

    // ---- delivery ----
    void add(ResultNotification notification) {
        LinkedHashMap<Long, ResultNotification> pending =
                byOwner.computeIfAbsent(notification.owner(), owner -> new LinkedHashMap<>());
        pending.put(notification.sequence(), notification);
        if (pending.size() > MAX_PENDING_PER_OWNER) {
            pending.remove(pending.keySet().iterator().next());
        }
    }

    /** Removes a notification that must no longer be delivered. Does nothing if it is null. */
    void discard(ResultNotification notification) {
        if (notification != null) {
            delivered(notification.owner(), notification.sequence());
        }
    }

    void delivered(String owner, long sequence) {
        LinkedHashMap<Long, ResultNotification> pending = byOwner.get(owner);
        if (pending != null && pending.remove(sequence) != null && pending.isEmpty()) {
            byOwner.remove(owner);
        }
    }

    /** Returns the notifications that the owner has not received, oldest first. */
    List<ResultNotification> undelivered(String owner) {
        LinkedHashMap<Long, ResultNotification> pending = byOwner.get(owner);
        return pending == null ? new ArrayList<>() : new ArrayList<>(pending.values());
    }
}
