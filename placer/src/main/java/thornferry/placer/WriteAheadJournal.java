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
 * The write-ahead rule: a record is durable before the effect that depends on it leaves this
 * process. It has two duties:
 *
 * <ul>
 *   <li><b>Persist before offer.</b> No byte of an offer of a task that must not run twice is
 *       written before its {@link JournalRecord.Offered} is durable. Without this, a placer that
 *       restarts would not know of the attempt and could start the task a second time. An offer
 *       that is cancelled while its record is being written is never sent.
 *   <li><b>Persist before notify.</b> A client is not notified of a result or an end before the
 *       record of it is durable. Without this, a placer that restarts could contradict what the
 *       client was notified of. Later notifications of the same task queue behind the first, so
 *       that the client sees them in order. A notification is sent even if the record could not be
 *       written, because each request must have a result.
 * </ul>
 *
 * <p>Records become durable in the order in which they are passed here. Callbacks run on the event
 * loop; for a journal that completes at once, before the call returns.
 */
final class WriteAheadJournal {
    private final Journal journal;
    private final Recovery recovery;
    private final EventLoop loop;
    private final Consumer<ResultNotification> sender;

    /** Attempts whose offer waits for its record. */
    private final Set<String> pendingOffers = new HashSet<>();

    /** Notifications that wait for a record, by owner and task. */
    private final Map<String, List<ResultNotification>> pendingNotifications = new HashMap<>();

    /**
     * @param sender sends a notification to its client
     */
    WriteAheadJournal(
            Journal journal,
            Recovery recovery,
            EventLoop loop,
            Consumer<ResultNotification> sender) {
        this.journal = journal;
        this.recovery = recovery;
        this.loop = loop;
        this.sender = sender;
    }

    /**
     * Appends a record.
     *
     * @param completed receives empty once the record is as durable as configured, or the failure
     */
    void persist(JournalRecord record, Consumer<Optional<String>> completed) {
        if (journal != Journal.NONE) {
            recovery.apply(record); // without a journal, no snapshot would ever read it
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
     * @param completed as in {@link #persist}; not called if the offer was cancelled meanwhile
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

    /** Cancels an offer that waits for its record; false if there is none for this attempt. */
    boolean cancelPendingOffer(String attempt) {
        return pendingOffers.remove(attempt);
    }

    /** Appends a record; notifications of this task wait until it is durable or has failed. */
    void persistBeforeNotifying(String owner, String task, JournalRecord record) {
        String key = key(owner, task);
        pendingNotifications.putIfAbsent(key, new ArrayList<>());
        persist(
                record,
                failure -> {
                    List<ResultNotification> pending = pendingNotifications.remove(key);
                    if (pending != null) {
                        pending.forEach(sender);
                    }
                });
    }

    /** Sends a notification, now or once the record that it waits for is durable. */
    void notifyResult(ResultNotification notification) {
        List<ResultNotification> pending =
                pendingNotifications.get(key(notification.owner(), notification.task()));
        if (pending == null) {
            sender.accept(notification);
        } else {
            pending.add(notification);
        }
    }

    /** Whether notifications of this task wait for a record. */
    boolean isNotificationPending(String owner, String task) {
        return pendingNotifications.containsKey(key(owner, task));
    }

    /** Rewrites the journal with the records that still count, if it has grown enough. */
    void compact() {
        journal.compact(recovery::snapshot);
    }

    /** What prevents the journal from writing now; empty if it writes. */
    String writeFailure() {
        return journal.writeFailure();
    }

    private static String key(String owner, String task) {
        return owner + "/" + task;
    }
}
