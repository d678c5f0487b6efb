package thornferry.decisions.admission;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import thornferry.decisions.admission.AdmissionQueue.Stage;
import thornferry.decisions.admission.QueueEntry.BackoffCause;
import thornferry.decisions.membership.ClusterView;

/**
 * Requests that back off because they found no capacity, or because they exceed the retry budget.
 * The first return to the queue when a machine reports enough capacity; when their backoff ends
 * without that, they are due for a recheck. The second return when the budget allows.
 */
final class BackoffQueue {
    /** Doublings of the backoff at most. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private static final int MAX_BACKOFF_FACTOR = 1 << MAX_BACKOFF_DOUBLINGS;

    private final Supplier<AdmissionSettings> settings;
    private final ClusterView cluster;
    private final QueueIndex index;
    private final RetryBudget retryBudget;
    private final TreeSet<QueueEntry> entries = new TreeSet<>(QueueEntry.BY_PRIORITY);

    /** Of the entries: those whose backoff ended though no capacity was seen. */
    private final TreeSet<QueueEntry> dueForRecheck = new TreeSet<>(QueueEntry.BY_PRIORITY);

    private final EntryTimers timers = new EntryTimers();

    BackoffQueue(
            Supplier<AdmissionSettings> settings,
            ClusterView cluster,
            QueueIndex index,
            RetryBudget retryBudget) {
        this.settings = settings;
        this.cluster = cluster;
        this.index = index;
        this.retryBudget = retryBudget;
    }

    /** Delays a retry until the retry budget allows it. */
    void backOffForRetryBudget(long nowMicros, QueueEntry entry) {
        long untilMicros =
                Math.min(
                        retryBudget.nextRetryAtMicros(nowMicros, entry.request()),
                        entry.latestBackoffMicros());
        add(nowMicros, entry, untilMicros, BackoffCause.RETRY_BUDGET);
    }

    /** Delays a recalled request; the delay doubles with each recall. */
    void backOffForCapacity(long nowMicros, QueueEntry entry) {
        long maxDelayMicros = settings.get().backoffMicros() * MAX_BACKOFF_FACTOR;
        long delayMicros =
                entry.fitsSomeMachine()
                        ? settings.get().backoffMicros()
                                << Math.min(MAX_BACKOFF_DOUBLINGS, entry.countRecall())
                        : maxDelayMicros;
        long untilMicros =
                Math.min(
                        nowMicros + Math.min(delayMicros, maxDelayMicros),
                        entry.latestBackoffMicros());
        add(nowMicros, entry, untilMicros, BackoffCause.NO_CAPACITY);
    }

    private void add(long nowMicros, QueueEntry entry, long untilMicros, BackoffCause cause) {
        entry.backOff(Math.max(nowMicros + 1, untilMicros), cause);
        entries.add(entry);
        timers.schedule(entry.backoffUntilMicros(), entry);
    }

    void remove(QueueEntry entry) {
        entries.remove(entry);
        dueForRecheck.remove(entry);
    }

    /** Returns to the queue what may be dispatched again, and marks what is due for a recheck. */
    void tick(long nowMicros) {
        for (Optional<QueueEntry> expired = timers.pollExpired(nowMicros);
                expired.isPresent();
                expired = timers.pollExpired(nowMicros)) {
            backoffExpired(nowMicros, expired.get());
        }
        if (cluster.takeCapacityGained() && !entries.isEmpty()) {
            for (QueueEntry entry : first()) {
                if (!entry.exceedsRetryBudget()
                        && cluster.hasCapacity(entry.request().cores(), entry.request().memory())) {
                    returnToQueue(nowMicros, entry);
                }
            }
        }
    }

    private void backoffExpired(long nowMicros, QueueEntry entry) {
        if (entry.stage() != Stage.BACKING_OFF || nowMicros < entry.backoffUntilMicros()) {
            return;
        }
        if (!entry.exceedsRetryBudget()) {
            dueForRecheck.add(entry);
        } else if (retryBudget.tryTake(nowMicros, entry.request())
                || !hasTimeForBackoff(nowMicros, entry)) {
            returnToQueue(nowMicros, entry);
        } else {
            backOffForRetryBudget(nowMicros, entry);
        }
    }

    private static boolean hasTimeForBackoff(long nowMicros, QueueEntry entry) {
        return entry.request().remainingMicros(nowMicros) > 3 * QueueEntry.DISPATCH_MARGIN_MICROS;
    }

    private void returnToQueue(long nowMicros, QueueEntry entry) {
        remove(entry);
        entry.backoffEnded();
        index.enqueue(nowMicros, entry);
    }

    boolean isDueForRecheck(QueueEntry entry) {
        return dueForRecheck.contains(entry);
    }

    /** The first entries by priority that are due for a recheck, up to the scan limit. */
    List<QueueEntry> dueForRecheck() {
        return dueForRecheck.stream().limit(QueueIndex.MAX_SCANNED).toList();
    }

    /** The first entries by priority, up to the scan limit. */
    List<QueueEntry> first() {
        return entries.stream().limit(QueueIndex.MAX_SCANNED).toList();
    }

    Optional<QueueEntry> highestPriority() {
        return entries.isEmpty() ? Optional.empty() : Optional.of(entries.first());
    }

    Optional<QueueEntry> lowestPriority() {
        return entries.isEmpty() ? Optional.empty() : Optional.of(entries.last());
    }

    int size() {
        return entries.size();
    }
}
