package thornferry.placer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.decisions.recovery.Recovery;
import thornferry.decisions.requests.ResultNotification;
import thornferry.state.Journal;

/**
 * Enforces that a record is durable before the effect that depends on it leaves this process. There
 * are two rules:
 *
 * <ul>
 *   <li><b>Persist before offer.</b> No byte of an offer of a task that must not run twice is sent
 *       before the {@link JournalRecord.Offered} of that offer is durable. Without this, a placer
 *       that restarts would not know of the attempt and could start the task a second time. An
 *       offer that is cancelled while its record is being written is never sent.
 *   <li><b>Persist before notify.</b> A client is not notified of a result or an end before the
 *       record of it is durable. Without this, a placer that restarts could contradict what the
 *       client was notified of. Later notifications of the same task queue behind the first, so
 *       that the client receives them in order. A notification is sent even if the record could not
 *       be written, because each request must have a result.
 * </ul>
 *
 * <p>Records become durable in the order in which they are appended. Callbacks run on the event
 * loop; if the journal completes a record at once, the callback runs before the call returns.
 */
final class WriteAheadJournal {
    private final Journal journal;
    private final Recovery recovery;
    private final EventLoop loop;
    private final Consumer<ResultNotification> notificationSender;

    /** The attempts whose offer waits until its record is durable. */
    private final Set<String> pendingOffers = new HashSet<>();

    /** The notifications that wait for a record, by owner and task. */
    private final Map<String, List<ResultNotification>> pendingNotificationsByTask =
            new HashMap<>();

    /**
     * @param notificationSender sends a notification to its client
     */
    WriteAheadJournal(
            Journal journal,
            Recovery recovery,
            EventLoop loop,
            Consumer<ResultNotification> notificationSender) {
        this.journal = journal;
        this.recovery = recovery;
        this.loop = loop;
        this.notificationSender = notificationSender;
    }

    /**
     * Appends a record.
     *
     * @param completed receives empty once the record is as durable as configured, or the failure
     */
    void persist(JournalRecord record, Consumer<Optional<String>> completed) {
        if (journal != Journal.NONE) {
            recovery.apply(record); // without a journal, no snapshot is ever taken
        }
        journal.append(
                record,
                failure -> {
                    Optional<String> result = Optional.ofNullable(failure);
                    if (loop.inEventLoop()) {
                        completed.accept(result);
                    } else {
                        loop.execute(() -> completed.accept(result));
                    }
                });
    }

    /**
     * Appends the record of an offer.
     *
     * @param completed called as by {@link #persist}, unless the offer is cancelled before
     */
    void persistBeforeOffer(JournalRecord.Offered record, Consumer<Optional<String>> completed) {
        pendingOffers.add(record.attempt());
        persist(
                record,
                failure -> {
                    if (pendingOffers.remove(record.attempt())) {
                        completed.accept(failure);
                    }
                });
    }

    /** Cancels an offer that waits for its record; returns false if none waits for this attempt. */
    boolean cancelPendingOffer(String attempt) {
        return pendingOffers.remove(attempt);
    }

    /**
     * Appends a record. Notifications of the task wait until the record is durable or has failed.
     */
    void persistBeforeNotifying(String owner, String task, JournalRecord record) {
        String key = key(owner, task);
        pendingNotificationsByTask.putIfAbsent(key, new ArrayList<>());
        persist(
                record,
                failure -> {
                    List<ResultNotification> pending = pendingNotificationsByTask.remove(key);
                    if (pending != null) {
                        pending.forEach(notificationSender);
                    }
                });
    }

    /** Sends a notification, now or once the record that it waits for is durable. */
    void notifyResult(ResultNotification notification) {
        List<ResultNotification> pending =
                pendingNotificationsByTask.get(key(notification.owner(), notification.task()));
        if (pending == null) {
            notificationSender.accept(notification);
        } else {
            pending.add(notification);
        }
    }

    /** Returns whether notifications of this task wait for a record. */
    boolean isNotificationPending(String owner, String task) {
        return pendingNotificationsByTask.containsKey(key(owner, task));
    }

    /** Compacts the journal to the records that are still needed, if it has grown enough. */
    void compact() {
        journal.compact(recovery::snapshot);
    }

    /** Returns the reason why the journal cannot be written now; empty if it can. */
    String writeFailure() {
        return journal.writeFailure();
    }

    private static String key(String owner, String task) {
        return owner + "/" + task;
    }
}
