package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import thornferry.decisions.membership.ClusterView;

/**
 * The admission queue: decides which request the placement policy receives next, which waits, and
 * which is rejected early.
 *
 * <p>Between tenants the one with the lowest dominant share for its weight comes next. Within a
 * tenant the highest priority weight comes first, then new requests before retries, then the
 * earliest deadline. Every {@link AdmissionSettings#oldestEvery}-th turn is that of the oldest
 * request. Hence <b>a request that no quota blocks is dispatched after at most {@code oldestEvery *
 * (n + 1)} others</b>, where n is the number of requests that arrived before it and still wait.
 *
 * <p>The queue returns its decisions as {@link Action}s to a receiver that may call the queue again
 * before it returns. Times are microseconds of the caller's monotonic clock.
 */
public final class AdmissionQueue {
    /** Where a request is on its way to a machine. */
    public enum Stage {
        /** Not known to the queue. */
        UNKNOWN,
        /** Waits for its turn. */
        QUEUED,
        /** Waits until capacity is seen or time has passed. */
        BACKING_OFF,
        /** With the placement policy, no attempt in flight. */
        DISPATCHED,
        /** An attempt on a machine is in flight. */
        OFFERED,
        /** Runs on a machine. */
        PLACED
    }

    /**
     * The state of a request.
     *
     * @param stage where it is
     * @param quotaBlock the quota that blocks it, or null
     * @param nextRetryAtMicros when its latest backoff ends; 0 if it never backed off
     * @param aboveFairShare whether another tenant with a lower share comes first
     * @param capacityReserved whether capacity is reserved for a larger task and it must wait
     * @param arrivedAtMicros when it arrived; 0 if unknown
     */
    public record Status(
            Stage stage,
            QuotaBlock quotaBlock,
            long nextRetryAtMicros,
            boolean aboveFairShare,
            boolean capacityReserved,
            long arrivedAtMicros) {}

    /** A decision that the caller carries out. */
    public sealed interface Action {}

    /**
     * Hand the request to the placement policy.
     *
     * @param requestId the request
     * @param maxWaitMicros time left until its deadline
     */
    public record Dispatch(String requestId, long maxWaitMicros) implements Action {}

    /**
     * Withdraw the request from the placement policy: it was never offered to a machine and waits
     * in the queue again.
     *
     * @param requestId the request
     */
    public record Recall(String requestId) implements Action {}

    /**
     * Reject the request.
     *
     * @param requestId the request
     * @param reason sentence for the client
     * @param retryAfterMicros delay after which the client should retry
     */
    public record Shed(String requestId, String reason, long retryAfterMicros) implements Action {}

    /**
     * Number of requests by stage, for operators.
     *
     * @param queued in {@link Stage#QUEUED}
     * @param backingOff in {@link Stage#BACKING_OFF}
     * @param dispatched in {@link Stage#DISPATCHED}
     * @param offered in {@link Stage#OFFERED}
     * @param placed in {@link Stage#PLACED}
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
     * A longer time between two ticks means that this process paused; waits during the pause do not
     * count as overload.
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
     * @param settings limits, replaceable by {@link #reload}
     * @param fleet sizes and free capacity of the machines
     * @param seed of the random spread of retry delays
     */
    public AdmissionQueue(AdmissionSettings settings, ClusterView fleet, long seed) {
        this.settings = settings;
        cluster = fleet;
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
     * Replaces the settings. Waiting requests keep their place, and running tasks continue even
     * above a new limit.
     *
     * @param actions receives the decisions
     */
    public void reload(long nowMicros, AdmissionSettings newSettings, Consumer<Action> actions) {
        settings = newSettings;
        quotas.settingsChanged();
        retryBudget.settingsChanged();
        index.refreshAll(nowMicros);
        dispatcher.dispatchReady(nowMicros, actions);
    }

    /**
     * A request arrives. It is dispatched, waits, or is rejected at once.
     *
     * @param actions receives the decisions
     */
    public void arrived(long nowMicros, QueuedRequest request, Consumer<Action> actions) {
        QueueEntry previous = entries.remove(request.requestId());
        if (previous != null) {
            drop(nowMicros, previous);
        }
        boolean fitsSomeMachine = cluster.couldEverFit(request.cores(), request.memory());
        QueueEntry entry = register(nowMicros, request, fitsSomeMachine);
        if (!settings.enabled()) {
            dispatcher.dispatch(nowMicros, entry, actions);
            return;
        }
        if (!request.retry()) {
            overload.recordNewRequest();
            retryBudget.newRequestArrived(nowMicros, request);
        }
        Optional<String> rejection =
                quotas.rejectionOnArrival(nowMicros, entry)
                        .or(() -> loadShedder.rejectionOnArrival(nowMicros, entry));
        if (rejection.isPresent()) {
            entries.remove(request.requestId());
            index.discardIfIdle(nowMicros, entry.owner());
            sendRejection(nowMicros, entry, rejection.get(), actions);
            return;
        }
        admit(nowMicros, entry, actions);
    }

    private QueueEntry register(long nowMicros, QueuedRequest request, boolean fitsSomeMachine) {
        QueueEntry entry =
                new QueueEntry(
                        request,
                        index.ownerOf(request),
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
        if (!request.retry() || retryBudget.tryTake(nowMicros, request)) {
            index.enqueue(nowMicros, entry);
        } else {
            backoff.backOffForRetryBudget(nowMicros, entry);
        }
        dispatcher.dispatchReady(nowMicros, actions);
        if (waitingCount() > settings.maxQueued()) {
            loadShedder.shedLast(
                    RejectionText.queueFull(settings.maxQueued()),
                    (last, reason) -> reject(nowMicros, last, reason, actions));
        }
        if (request.remainingMicros(nowMicros) <= QueueEntry.DISPATCH_MARGIN_MICROS
                && isKnown(entry)
                && entry.isWaiting()) {
            reject(nowMicros, entry, RejectionText.NO_TIME_LEFT, actions);
        }
    }

    /** Whether the entry is still the one of its request id. */
    private boolean isKnown(QueueEntry entry) {
        return entries.get(entry.requestId()) == entry;
    }

    /**
     * The policy starts an attempt on a machine.
     *
     * @param repeat whether it is a further attempt of the same request
     */
    public void attemptStarted(long nowMicros, String request, String machine, boolean repeat) {
        QueueEntry entry = entries.get(request);
        boolean isRetry = repeat || (entry != null && entry.request().retry());
        retryBudget.attemptStarted(nowMicros, machine, isRetry);
        if (entry != null && entry.stage() == Stage.DISPATCHED) {
            window.attemptStarted(entry);
        }
    }

    /** An attempt has ended; the policy holds the request again, or starts another attempt next. */
    public void attemptEnded(long nowMicros, String request) {
        QueueEntry entry = entries.get(request);
        if (entry != null && entry.stage() == Stage.OFFERED) {
            window.attemptEnded(nowMicros, entry);
        }
    }

    /**
     * The request's task runs on a machine.
     *
     * @param actions receives the decisions
     */
    public void placed(long nowMicros, String request, Consumer<Action> actions) {
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
     * A task that runs already is taken over; it counts against its owner's and tenant's quotas.
     */
    public void adopted(long nowMicros, QueuedRequest request) {
        QueueEntry entry = register(nowMicros, request, false);
        entry.moveTo(Stage.PLACED);
        placedCount++;
        index.addActive(entry);
    }

    /**
     * The request has ended: it was rejected, failed or cancelled, or its placed task has ended.
     *
     * @param actions receives the decisions
     */
    public void finished(long nowMicros, String request, Consumer<Action> actions) {
        QueueEntry entry = entries.remove(request);
        if (entry == null) {
            return;
        }
        if (entry.stage() == Stage.DISPATCHED && nowMicros >= entry.latestDispatchMicros()) {
            loadShedder.recordRejectionAtDeadline(nowMicros, entry);
        }
        drop(nowMicros, entry);
        dispatcher.dispatchReady(nowMicros, actions);
    }

    /** Removes an entry, which is no longer in the map, from everything else. */
    private void drop(long nowMicros, QueueEntry entry) {
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
        index.discardIfIdle(nowMicros, entry.owner());
    }

    /** Removes an entry from the queue or window of its stage; the stage itself remains. */
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
        drop(nowMicros, entry);
        sendRejection(nowMicros, entry, reason, actions);
    }

    private void sendRejection(
            long nowMicros, QueueEntry entry, String reason, Consumer<Action> actions) {
        actions.accept(new Shed(entry.requestId(), reason, retryAfter(nowMicros)));
    }

    /**
     * Time passes; to be called about fifty times a second.
     *
     * @param actions receives the decisions
     */
    public void tick(long nowMicros, Consumer<Action> actions) {
        boolean pausedBefore =
                lastTickMicros != Long.MIN_VALUE
                        && nowMicros - lastTickMicros > MAX_TICK_INTERVAL_MICROS;
        lastTickMicros = nowMicros;
        rejectExpired(nowMicros, actions);
        index.refreshBlockedOwners(nowMicros);
        backoff.tick(nowMicros);
        if (pausedBefore) {
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
            if (entry.isWaiting() && isKnown(entry)) {
                loadShedder.recordRejectionAtDeadline(nowMicros, entry);
                reject(nowMicros, entry, RejectionText.NO_CAPACITY_IN_TIME, actions);
            }
        }
    }

    /**
     * Delay after which a client rejected now should retry, in microseconds, spread at random.
     * Every call takes a slot.
     */
    public long retryAfter(long nowMicros) {
        return overload.nextRetryAfterMicros(nowMicros);
    }

    /** Where a request is and what blocks it. */
    public Status status(long nowMicros, String request) {
        QueueEntry entry = entries.get(request);
        if (entry == null) {
            return new Status(Stage.UNKNOWN, null, 0, false, false, 0);
        }
        boolean queued = entry.stage() == Stage.QUEUED;
        return new Status(
                entry.stage(),
                block(nowMicros, entry),
                entry.backoffUntilMicros(),
                queued && fairShare.isAboveFairShare(entry.tenant()),
                queued && reservation.holdsBack(nowMicros, entry),
                entry.arrivedAtMicros());
    }

    /** The quota that blocks a waiting entry; null if none does. */
    private QuotaBlock block(long nowMicros, QueueEntry entry) {
        if (entry.stage() == Stage.QUEUED) {
            QuotaBlock ownerBlock = entry.owner().block();
            return ownerBlock != null ? ownerBlock : quotas.sharedBlock(nowMicros, entry);
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
        return backoff.isDueForRecheck(entry) ? quotas.block(nowMicros, entry) : null;
    }

    /**
     * How many queued requests of the same tenant come before this one, counted up to a maximum.
     */
    public int countAhead(String request, int max) {
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

    /** Whether requests are being shed because of overload. */
    public boolean isOverloaded() {
        return overload.isOverloaded();
    }

    /** Number of requests that are queued or back off. */
    public int waitingCount() {
        return index.site().waitingTasks();
    }

    /** Number of requests by stage. */
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

    /** Usage of each tenant with waiting or active tasks, in order of the first request. */
    public List<QuotaUsage> tenantUsage() {
        return index.tenants().stream()
                .map(TenantQueue::usage)
                .map(usage -> usage.toQuotaUsage(cluster, settings.quotaOfTenant(usage.name())))
                .toList();
    }

    /** Usage of an owner; zeros if nothing of it waits or is active. */
    public QuotaUsage ownerUsage(String name) {
        UsageTotals usage =
                index.owner(name).map(OwnerQueue::usage).orElseGet(() -> new UsageTotals(name));
        return usage.toQuotaUsage(cluster, settings.quotaOfOwner(name));
    }

    /** Usage of all tenants together. */
    public QuotaUsage siteUsage() {
        return index.site().toQuotaUsage(cluster, settings.siteQuota());
    }
}
