package thornferry.decisions.admission;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import thornferry.decisions.admission.AdmissionQueue.Stage;
import thornferry.decisions.admission.QueueEntry.BackoffCause;
import thornferry.decisions.membership.ClusterView;

/**
 * Requests that back off because the policy found no capacity for them, or because they exceed the
 * retry budget. A request without capacity returns to the queue when a machine reports enough
 * capacity; if its backoff ends before that, it is due for a recheck, in which the policy receives
 * it again. A request that exceeds the retry budget returns to the queue when the budget allows it.
 */
final class BackoffQueue {
    /** Maximum number of doublings of the backoff. */
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    private static final int MAX_BACKOFF_FACTOR = 1 << MAX_BACKOFF_DOUBLINGS;

    private final Supplier<AdmissionSettings> settings;
    private final ClusterView cluster;
    private final QueueIndex index;
    private final RetryBudget retryBudget;
    private final TreeSet<QueueEntry> entries = new TreeSet<>(QueueEntry.BY_PRIORITY);

    /** The subset of {@link #entries} whose backoff ended without enough reported capacity. */
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
                        entry.latestBackoffEndMicros());
        add(nowMicros, entry, untilMicros, BackoffCause.RETRY_BUDGET);
    }

    /**
     * Delays a recalled request. The delay doubles with each recall, up to the maximum; a request
     * that fits no machine is delayed by the maximum at once.
     */
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
                        entry.latestBackoffEndMicros());
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

    /**
     * Returns the requests that may be dispatched again to the queue, and marks those due for a
     * recheck.
     */
    void tick(long nowMicros) {
        for (Optional<QueueEntry> expired = timers.pollExpired(nowMicros);
                expired.isPresent();
                expired = timers.pollExpired(nowMicros)) {
            handleExpiredBackoff(nowMicros, expired.get());
        }
        if (cluster.takeCapacityGained() && !entries.isEmpty()) {
            for (QueueEntry entry : firstByPriority()) {
                if (!entry.exceedsRetryBudget()
                        && cluster.hasCapacity(entry.request().cores(), entry.request().memory())) {
                    returnToQueue(nowMicros, entry);
                }
            }
        }
    }

    private void handleExpiredBackoff(long nowMicros, QueueEntry entry) {
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
        entry.endBackoff();
        index.enqueue(nowMicros, entry);
    }

    boolean isDueForRecheck(QueueEntry entry) {
        return dueForRecheck.contains(entry);
    }

    /**
     * Returns the entries due for a recheck in order of priority, up to {@link
     * QueueIndex#MAX_SCANNED}.
     */
    List<QueueEntry> dueForRecheck() {
        return dueForRecheck.stream().limit(QueueIndex.MAX_SCANNED).toList();
    }

    /** Returns the entries in order of priority, up to {@link QueueIndex#MAX_SCANNED}. */
    List<QueueEntry> firstByPriority() {
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
