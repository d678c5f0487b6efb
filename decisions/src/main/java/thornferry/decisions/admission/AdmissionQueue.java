package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.membership.ClusterView;

/**
 * Decides which request the placement policy receives next, which requests wait, and which are
 * rejected early.
 *
 * <p>The tenant with the lowest weighted dominant share is served next. Within a tenant, requests
 * are ordered by priority weight, highest first; among equal weights, new requests come before
 * retries, and then the earliest deadline comes first. Every {@link
 * AdmissionSettings#oldestEvery}-th dispatch is that of the oldest request regardless of this
 * order. Hence <b>a request that no quota blocks is dispatched after at most {@code oldestEvery *
 * (n + 1)} others</b>, where n is the number of requests that arrived before it and still wait.
 *
 * <p>The queue passes its decisions as {@link Action}s to a consumer, which may call the queue
 * again before it returns. Times are microseconds of the caller's monotonic clock.
 */
public final class AdmissionQueue {
    /** The progress of a request, from its arrival until its task is placed. */
    public enum Stage {
        /** The queue does not know the request. */
        UNKNOWN,
        /** The request waits in the queue to be dispatched. */
        QUEUED,
        /** The request waits until a machine reports enough capacity or its backoff ends. */
        BACKING_OFF,
        /** The placement policy holds the request and has no attempt in flight. */
        DISPATCHED,
        /** An attempt of the request on a machine is in flight. */
        OFFERED,
        /** The task runs on a machine. */
        PLACED
    }

    /**
     * The state of a request.
     *
     * @param stage the stage that the request has reached
     * @param quotaBlock the quota that blocks the request, or null
     * @param nextRetryAtMicros end of the request's latest backoff; 0 if it never backed off
     * @param aboveFairShare whether another tenant with queued requests has a lower weighted
     *     dominant share and is served first
     * @param heldBackByReservation whether the request is held back because capacity is reserved
     *     for a larger task
     * @param arrivedAtMicros arrival time of the request; 0 if the queue does not know it
     */
    public record Status(
            Stage stage,
            QuotaBlock quotaBlock,
            long nextRetryAtMicros,
            boolean aboveFairShare,
            boolean heldBackByReservation,
            long arrivedAtMicros) {}

    /** A decision for the caller to carry out. */
    public sealed interface Action {}

    /**
     * Hand the request to the placement policy.
     *
     * @param requestId the request
     * @param maxWaitMicros time left until its deadline
     */
    public record Dispatch(String requestId, long maxWaitMicros) implements Action {}

    /**
     * Withdraw the request from the placement policy. The request was never offered to a machine
     * and waits in the queue again.
     *
     * @param requestId the request
     */
    public record Recall(String requestId) implements Action {}

    /**
     * Reject the request.
     *
     * @param requestId the request
     * @param reason the sentence that the client receives
     * @param retryAfterMicros delay after which the client should retry
     */
    public record Reject(String requestId, String reason, long retryAfterMicros)
            implements Action {}

    /**
     * The number of requests in each stage, for operators.
     *
     * @param queued requests in {@link Stage#QUEUED}
     * @param backingOff requests in {@link Stage#BACKING_OFF}
     * @param dispatched requests in {@link Stage#DISPATCHED}
     * @param offered requests in {@link Stage#OFFERED}
     * @param placed requests in {@link Stage#PLACED}
     * @param overloaded whether requests are being shed
     * @param shed requests shed since the start
     */
    public record QueueCounts(
            int queued,
            int backingOff,
            int dispatched,
            int offered,
            int placed,
            boolean overloaded,
            long shed) {}

    /**
     * The longest time between two ticks that does not count as a pause of this process. Waits
     * during a pause do not count as overload.
     */
    private static final long MAX_TICK_INTERVAL_MICROS = 250_000;

    private final ClusterView cluster;
    private final Map<String, QueueEntry> entries = new HashMap<>();
    private final EntryTimers deadlines = new EntryTimers();
    private final QuotaChecker quotas;
    private final QueueIndex index;
    private final FairShare fairShare;
    private final RetryBudget retryBudget;
    private final BackoffQueue backoff;
    private final DispatchWindow window;
    private final CapacityReservation reservation;
    private final OverloadController overload;
    private final LoadShedder loadShedder;
    private final Dispatcher dispatcher;
    private AdmissionSettings settings;
    private long nextSequenceNumber;
    private int placedCount;
    private long lastTickMicros = Long.MIN_VALUE;

    /**
     * Creates an empty queue.
     *
     * @param settings the settings in force until the next {@link #reload}
     * @param clusterView the sizes and the free capacity of the machines
     * @param seed seed of the random spread of retry delays
     */
    public AdmissionQueue(AdmissionSettings settings, ClusterView clusterView, long seed) {
        this.settings = settings;
        cluster = clusterView;
        UsageTotals site = new UsageTotals("");
        quotas = new QuotaChecker(this::settings, site);
        index = new QueueIndex(quotas, site);
        fairShare = new FairShare(this::settings, cluster, index);
        retryBudget = new RetryBudget(this::settings);
        backoff = new BackoffQueue(this::settings, cluster, index, retryBudget);
        window = new DispatchWindow(this::settings);
        reservation = new CapacityReservation(this::settings, cluster, window, backoff);
        overload = new OverloadController(this::settings, seed);
        loadShedder = new LoadShedder(this::settings, overload, quotas, index, fairShare, backoff);
        dispatcher =
                new Dispatcher(index, quotas, fairShare, reservation, window, backoff, overload);
    }

    private AdmissionSettings settings() {
        return settings;
    }

    /**
     * Replaces the settings. Waiting requests keep their position, and running tasks continue even
     * if they exceed a new limit.
     *
     * @param actions receives the decisions
     */
    public void reload(long nowMicros, AdmissionSettings newSettings, Consumer<Action> actions) {
        settings = newSettings;
        quotas.applySettings();
        retryBudget.applySettings();
        index.refreshAll(nowMicros);
        dispatcher.dispatchReady(nowMicros, actions);
    }

    /**
     * Handles the arrival of a request, which is dispatched at once, queued, or rejected at once.
     *
     * @param actions receives the decisions
     */
    public void handleArrival(long nowMicros, QueuedRequest request, Consumer<Action> actions) {
        QueueEntry previous = entries.remove(request.requestId());
        if (previous != null) {
            detach(nowMicros, previous);
        }
        boolean fitsSomeMachine = cluster.fitsSomeMachine(request.cores(), request.memory());
        QueueEntry entry = createEntry(nowMicros, request, fitsSomeMachine);
        if (!settings.enabled()) {
            dispatcher.dispatch(nowMicros, entry, actions);
            return;
        }
        if (!request.isRetry()) {
            overload.recordNewRequest();
            retryBudget.recordNewRequest(nowMicros, request);
        }
        Optional<String> rejection =
                quotas.findRejectionOnArrival(nowMicros, entry)
                        .or(() -> loadShedder.findRejectionOnArrival(nowMicros, entry));
        if (rejection.isPresent()) {
            entries.remove(request.requestId());
            index.removeOwnerIfIdle(nowMicros, entry.owner());
            sendRejection(nowMicros, entry, rejection.get(), actions);
            return;
        }
        admit(nowMicros, entry, actions);
    }

    private QueueEntry createEntry(long nowMicros, QueuedRequest request, boolean fitsSomeMachine) {
        QueueEntry entry =
                new QueueEntry(
                        request,
                        index.getOrCreateOwner(request),
                        nextSequenceNumber++,
                        nowMicros,
                        fitsSomeMachine);
        entries.put(request.requestId(), entry);
        return entry;
    }

    private void admit(long nowMicros, QueueEntry entry, Consumer<Action> actions) {
        QueuedRequest request = entry.request();
        index.addWaiting(entry);
        deadlines.schedule(entry.latestDispatchMicros(), entry);
        if (!request.isRetry() || retryBudget.tryTake(nowMicros, request)) {
            index.enqueue(nowMicros, entry);
        } else {
            backoff.backOffForRetryBudget(nowMicros, entry);
        }
        dispatcher.dispatchReady(nowMicros, actions);
        if (waitingCount() > settings.maxQueued()) {
            loadShedder.shedLast(
                    RejectionText.queueFull(settings.maxQueued()),
                    (excess, reason) -> reject(nowMicros, excess, reason, actions));
        }
        if (request.remainingMicros(nowMicros) <= QueueEntry.DISPATCH_MARGIN_MICROS
                && isCurrent(entry)
                && entry.isWaiting()) {
            reject(nowMicros, entry, RejectionText.NO_TIME_LEFT, actions);
        }
    }

    /** Returns whether the entry is still the one that its request id maps to. */
    private boolean isCurrent(QueueEntry entry) {
        return entries.get(entry.requestId()) == entry;
    }

    /**
     * Records that the policy started an attempt on a machine.
     *
     * @param repeat whether the attempt follows an earlier one of the same request
     */
    public void recordAttemptStart(long nowMicros, String request, String machine, boolean repeat) {
        QueueEntry entry = entries.get(request);
        boolean isRetry = repeat || (entry != null && entry.request().isRetry());
        retryBudget.recordAttemptStart(nowMicros, machine, isRetry);
        if (entry != null && entry.stage() == Stage.DISPATCHED) {
            window.attemptStarted(entry);
        }
    }

    /** Records that an attempt ended, after which the policy holds the request again. */
    public void recordAttemptEnd(long nowMicros, String request) {
        QueueEntry entry = entries.get(request);
        if (entry != null && entry.stage() == Stage.OFFERED) {
            window.attemptEnded(nowMicros, entry);
        }
    }

    /**
     * Records that the request's task runs on a machine.
     *
     * @param actions receives the decisions
     */
    public void recordPlacement(long nowMicros, String request, Consumer<Action> actions) {
        QueueEntry entry = entries.get(request);
        if (entry == null
                || (entry.stage() != Stage.DISPATCHED && entry.stage() != Stage.OFFERED)) {
            return;
        }
        leaveStage(nowMicros, entry);
        entry.moveTo(Stage.PLACED);
        placedCount++;
        overload.recordPlacement();
        dispatcher.dispatchReady(nowMicros, actions);
    }

    /**
     * Records an adopted task, which runs already. The task counts against the quotas of its owner,
     * its tenant and the site.
     */
    public void recordAdoption(long nowMicros, QueuedRequest request) {
        QueueEntry entry = createEntry(nowMicros, request, false);
        entry.moveTo(Stage.PLACED);
        placedCount++;
        index.addActive(entry);
    }

    /**
     * Records the end of a request: it was rejected, failed or cancelled, or its placed task ended.
     *
     * @param actions receives the decisions
     */
    public void recordEnd(long nowMicros, String request, Consumer<Action> actions) {
        QueueEntry entry = entries.remove(request);
        if (entry == null) {
            return;
        }
        if (entry.stage() == Stage.DISPATCHED && nowMicros >= entry.latestDispatchMicros()) {
            loadShedder.recordRejectionAtDeadline(nowMicros, entry);
        }
        detach(nowMicros, entry);
        dispatcher.dispatchReady(nowMicros, actions);
    }

    /** Removes an entry from all collections and totals except {@link #entries}. */
    private void detach(long nowMicros, QueueEntry entry) {
        leaveStage(nowMicros, entry);
        if (entry.stage() == Stage.PLACED) {
            placedCount--;
        }
        if (!entry.isWaiting()) {
            index.removeActive(entry);
            index.refresh(nowMicros, entry.owner());
        }
        entry.moveTo(Stage.UNKNOWN);
        reservation.remove(entry);
        index.removeOwnerIfIdle(nowMicros, entry.owner());
    }

    /** Removes an entry from the queue or window of its stage; does not change the stage. */
    private void leaveStage(long nowMicros, QueueEntry entry) {
        switch (entry.stage()) {
            case QUEUED -> {
                index.dequeue(nowMicros, entry);
                index.removeWaiting(entry);
            }
            case BACKING_OFF -> {
                backoff.remove(entry);
                index.removeWaiting(entry);
            }
            case DISPATCHED -> window.remove(entry);
            case OFFERED -> window.removeOffered();
            default -> {} // neither queued nor with the policy
        }
    }

    private void reject(long nowMicros, QueueEntry entry, String reason, Consumer<Action> actions) {
        entries.remove(entry.requestId());
        detach(nowMicros, entry);
        sendRejection(nowMicros, entry, reason, actions);
    }

    private void sendRejection(
            long nowMicros, QueueEntry entry, String reason, Consumer<Action> actions) {
        actions.accept(new Reject(entry.requestId(), reason, takeRetryAfterMicros(nowMicros)));
    }

    /**
     * Advances time: rejects expired requests, ends backoffs, sheds load and dispatches. To be
     * called about 50 times per second.
     *
     * @param actions receives the decisions
     */
    public void tick(long nowMicros, Consumer<Action> actions) {
        boolean resumedAfterPause =
                lastTickMicros != Long.MIN_VALUE
                        && nowMicros - lastTickMicros > MAX_TICK_INTERVAL_MICROS;
        lastTickMicros = nowMicros;
        rejectExpired(nowMicros, actions);
        index.refreshBlockedOwners(nowMicros);
        backoff.tick(nowMicros);
        if (resumedAfterPause) {
            overload.beginInterval(nowMicros);
        } else {
            dispatcher.recallStalled(nowMicros, actions);
            loadShedder.tick(
                    nowMicros, (entry, reason) -> reject(nowMicros, entry, reason, actions));
        }
        reservation.tick(nowMicros);
        dispatcher.dispatchReady(nowMicros, actions);
    }

    private void rejectExpired(long nowMicros, Consumer<Action> actions) {
        for (Optional<QueueEntry> expired = deadlines.pollExpired(nowMicros);
                expired.isPresent();
                expired = deadlines.pollExpired(nowMicros)) {
            QueueEntry entry = expired.get();
            if (entry.isWaiting() && isCurrent(entry)) {
                loadShedder.recordRejectionAtDeadline(nowMicros, entry);
                reject(nowMicros, entry, RejectionText.NO_CAPACITY_IN_TIME, actions);
            }
        }
    }

    /**
     * Returns the delay after which a client rejected now should retry, in microseconds. Each call
     * uses up one of the retry slots, over which clients are spread at random.
     */
    public long takeRetryAfterMicros(long nowMicros) {
        return overload.nextRetryAfterMicros(nowMicros);
    }

    /** Returns the stage of a request and what blocks it. */
    public Status status(long nowMicros, String request) {
        QueueEntry entry = entries.get(request);
        if (entry == null) {
            return new Status(Stage.UNKNOWN, null, 0, false, false, 0);
        }
        boolean isQueued = entry.stage() == Stage.QUEUED;
        return new Status(
                entry.stage(),
                findBlock(nowMicros, entry),
                entry.backoffUntilMicros(),
                isQueued && fairShare.isAboveFairShare(entry.tenant()),
                isQueued && reservation.holdsBack(nowMicros, entry),
                entry.arrivedAtMicros());
    }

    /** Returns the quota that blocks a waiting entry, or null if none does. */
    private QuotaBlock findBlock(long nowMicros, QueueEntry entry) {
        if (entry.stage() == Stage.QUEUED) {
            QuotaBlock ownerBlock = entry.owner().block();
            return ownerBlock != null ? ownerBlock : quotas.findTenantOrSiteBlock(nowMicros, entry);
        } else if (entry.stage() != Stage.BACKING_OFF) {
            return null;
        } else if (entry.exceedsRetryBudget()) {
            return new QuotaBlock(
                    QuotaScope.OWNER,
                    QuotaNames.RETRIES,
                    settings.retryRatio(),
                    0,
                    entry.backoffUntilMicros());
        }
        return backoff.isDueForRecheck(entry) ? quotas.findBlock(nowMicros, entry) : null;
    }

    /**
     * Returns the number of queued requests of the same tenant that precede this one, counted up to
     * {@code max}. Requests of owners that are blocked by a quota of their own do not count.
     */
    public int countQueuedAhead(String request, int max) {
        QueueEntry entry = entries.get(request);
        if (entry == null || entry.stage() != Stage.QUEUED) {
            return 0;
        }
        int count = 0;
        for (OwnerQueue owner : index.owners()) {
            if (owner.tenant() == entry.tenant() && owner.block() == null) {
                count += owner.countBefore(entry, max - count);
            }
        }
        return count;
    }

    /** Returns whether requests are being shed because of overload. */
    public boolean isOverloaded() {
        return overload.isOverloaded();
    }

    /** Returns the number of requests that are queued or back off. */
    public int waitingCount() {
        return index.site().waitingTasks();
    }

    /** Returns the number of requests in each stage. */
    public QueueCounts counts() {
        return new QueueCounts(
                waitingCount() - backoff.size(),
                backoff.size(),
                window.dispatchedCount(),
                window.offeredCount(),
                placedCount,
                isOverloaded(),
                loadShedder.shedCount());
    }

    /** Returns the usage of each tenant that has tasks, in order of their first requests. */
    public List<QuotaUsage> tenantUsage() {
        return index.tenants().stream()
                .map(TenantQueue::usage)
                .map(usage -> usage.toQuotaUsage(cluster, settings.quotaOfTenant(usage.name())))
                .toList();
    }

    /** Returns the usage of an owner; zeros if the owner has no waiting or active task. */
    public QuotaUsage ownerUsage(String name) {
        UsageTotals usage =
                index.owner(name).map(OwnerQueue::usage).orElseGet(() -> new UsageTotals(name));
        return usage.toQuotaUsage(cluster, settings.quotaOfOwner(name));
    }

    /** Returns the usage of all tenants together. */
    public QuotaUsage siteUsage() {
        return index.site().toQuotaUsage(cluster, settings.siteQuota());
    }
}
