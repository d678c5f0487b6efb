package thornferry.decisions.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import thornferry.decisions.attempts.TerminationCause;

/** Creates the notifications of owners and keeps them until they are delivered. */
final class PendingNotifications {
    /** Beyond it the oldest are dropped; a repeated request still gives their results. */
    private static final int MAX_PENDING_PER_OWNER = 10_000;

    private final Map<String, LinkedHashMap<Long, ResultNotification>> byOwner = new HashMap<>();
    private long lastSequence;

    // ---- creation ----
    ResultNotification ofResult(RequestEntry entry, RequestOutcome outcome, boolean repeated) {
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

    ResultNotification ofTermination(
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

    /** The same notification, to be delivered again. */
    ResultNotification repeated(ResultNotification original) {
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

    /** The notification is not to be delivered any more; nothing for null. */
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

    /** The notifications that the owner has not received, oldest first. */
    List<ResultNotification> undelivered(String owner) {
        LinkedHashMap<Long, ResultNotification> pending = byOwner.get(owner);
        return pending == null ? new ArrayList<>() : new ArrayList<>(pending.values());
    }
}
