package thornferry.decisions.admission;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/** Selects the requests to reject early while the site is overloaded or the queue is full. */
final class LoadShedder {
    private static final double MICROS_PER_SECOND = 1e6;

    /** Lower bound of the assumed placement rate, so that an estimated wait stays finite. */
    private static final double MIN_PLACEMENTS_PER_SECOND = 0.1;

    private final Supplier<AdmissionSettings> settings;
    private final OverloadController overload;
    private final QuotaChecker quotas;
    private final QueueIndex index;
    private final FairShare fairShare;
    private final BackoffQueue backoff;
    private long shedCount;

    LoadShedder(
            Supplier<AdmissionSettings> settings,
            OverloadController overload,
            QuotaChecker quotas,
            QueueIndex index,
            FairShare fairShare,
            BackoffQueue backoff) {
        this.settings = settings;
        this.overload = overload;
        this.quotas = quotas;
        this.index = index;
        this.fairShare = fairShare;
        this.backoff = backoff;
    }

    /**
     * Returns the number of requests shed so far, not counting rejections on arrival and at the
     * deadline.
     */
    long shedCount() {
        return shedCount;
    }

    /**
     * Returns the rejection sentence for a request that has just arrived and would wait beyond its
     * deadline; empty if the request may wait.
     */
    Optional<String> findRejectionOnArrival(long nowMicros, QueueEntry entry) {
        if (!overload.shouldRejectEarly(nowMicros)) {
            return Optional.empty();
        }
        double waitMicros = estimatedWaitMicros(entry);
        return waitMicros > entry.request().remainingMicros(nowMicros)
                ? Optional.of(RejectionText.estimatedWaitTooLong(waitMicros))
                : Optional.empty();
    }

    /**
     * Records a rejection at the deadline as a sign of overload if the request could have been
     * placed: its maximum wait was at least half of {@link AdmissionSettings#intervalMicros}, some
     * machine was large enough for it, and neither the retry budget nor a quota of its owner
     * blocked it.
     */
    void recordRejectionAtDeadline(long nowMicros, QueueEntry entry) {
        boolean hasShortMaxWait = entry.maxWaitMicros() < settings.get().intervalMicros() / 2;
        boolean isBlockedByOwnerQuota =
                entry.stage() == AdmissionQueue.Stage.QUEUED && entry.owner().block() != null;
        if (entry.fitsSomeMachine()
                && !hasShortMaxWait
                && !entry.exceedsRetryBudget()
                && !isBlockedByOwnerQuota) {
            overload.recordLateRejection(nowMicros);
        }
    }

    /**
     * Sheds as many requests as the overload requires now.
     *
     * @param reject removes an entry and rejects it with the given reason
     */
    void tick(long nowMicros, BiConsumer<QueueEntry, String> reject) {
        sampleWait(nowMicros);
        overload.tick(nowMicros);
        while (index.site().waitingTasks() > 0 && overload.takeShed(nowMicros)) {
            shedLast(RejectionText.LOWER_PRIORITY_SHED, reject);
        }
        for (int i = 0; i < QueueIndex.MAX_SCANNED && overload.shouldRejectEarly(nowMicros); i++) {
            Optional<QueueEntry> candidate = nextToShed();
            if (candidate.isEmpty() || canBePlacedInTime(nowMicros, candidate.get())) {
                break;
            }
            shed(candidate.get(), RejectionText.WAIT_TOO_LONG, reject);
        }
    }

    /** Sheds the waiting request that {@link #nextToShed} returns, if any. */
    void shedLast(String reason, BiConsumer<QueueEntry, String> reject) {
        nextToShed().ifPresent(entry -> shed(entry, reason, reject));
    }

    private void shed(QueueEntry entry, String reason, BiConsumer<QueueEntry, String> reject) {
        shedCount++;
        reject.accept(entry, reason);
    }

    /**
     * Returns the last queued request by priority of the tenant with the most tasks for its weight,
     * or else the last request by priority that backs off.
     */
    private Optional<QueueEntry> nextToShed() {
        return fairShare.lastOfLargestTenant().or(backoff::lowestPriority);
    }

    /**
     * Records the wait of the oldest dispatchable request as a sample if nothing was dispatched in
     * the interval.
     */
    private void sampleWait(long nowMicros) {
        if (index.site().waitingTasks() == 0) {
            overload.recordWait(0);
        } else if (!overload.hasSample()) {
            double waitedFraction =
                    oldestDispatchable(nowMicros)
                            .map(entry -> entry.waitedFraction(nowMicros))
                            .orElse(0.0);
            if (waitedFraction < settings.get().targetWaitFraction()
                    || overload.hasIntervalEnded(nowMicros)) {
                overload.recordWait(waitedFraction);
            }
        }
    }

    private Optional<QueueEntry> oldestDispatchable(long nowMicros) {
        return index.oldestUnblocked().stream()
                .limit(QueueIndex.MAX_SCANNED)
                .filter(entry -> quotas.findTenantOrSiteBlock(nowMicros, entry) == null)
                .findFirst()
                .or(backoff::highestPriority);
    }

    private boolean canBePlacedInTime(long nowMicros, QueueEntry entry) {
        return estimatedWaitMicros(entry) <= entry.request().remainingMicros(nowMicros);
    }

    /**
     * Estimates the wait behind all placeable waiting requests of the same tenant with at least the
     * same priority weight, at the tenant's fair share of the present placement rate.
     */
    private double estimatedWaitMicros(QueueEntry entry) {
        TenantQueue tenant = entry.tenant();
        int waitingAhead = tenant.countWaitingAtOrAbove(entry.request().priorityWeight());
        double placementsPerSecond =
                overload.placementsPerSecond() * fairShare.fractionOfWaiting(tenant);
        return waitingAhead
                * MICROS_PER_SECOND
                / Math.max(MIN_PLACEMENTS_PER_SECOND, placementsPerSecond);
    }
}
