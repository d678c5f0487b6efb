package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Checks requests against the quotas of their owner, their tenant and the site. */
final class QuotaChecker {
    /** Absorbs rounding errors of sums of cores and memory. */
    private static final double TOLERANCE = 1e-9;

    private final Supplier<AdmissionSettings> settings;
    private final UsageTotals site;
    private final TokenBuckets ownerRates = unlimited();
    private final TokenBuckets tenantRates = unlimited();
    private final TokenBuckets siteRate = unlimited();

    /** Buckets of the owners and tenants that have a quota of their own. */
    private final Map<String, TokenBuckets> ratesByOwner = new HashMap<>();

    private final Map<String, TokenBuckets> ratesByTenant = new HashMap<>();

    QuotaChecker(Supplier<AdmissionSettings> settings, UsageTotals site) {
        this.settings = settings;
        this.site = site;
        settingsChanged();
    }

    private static TokenBuckets unlimited() {
        return new TokenBuckets(0, Double.POSITIVE_INFINITY);
    }

    /** Applies the current settings' dispatch rates. */
    void settingsChanged() {
        AdmissionSettings current = settings.get();
        configure(ownerRates, current.ownerQuota());
        configure(tenantRates, current.tenantQuota());
        configure(siteRate, current.siteQuota());
        replaceRates(ratesByOwner, current.ownerQuotas());
        replaceRates(ratesByTenant, current.tenantQuotas());
    }

    private static void configure(TokenBuckets rate, Quota quota) {
        rate.configure(quota.perSecond(), quota.burst());
    }

    private static void replaceRates(Map<String, TokenBuckets> rates, Map<String, Quota> quotas) {
        rates.clear();
        quotas.forEach(
                (name, quota) ->
                        rates.put(name, new TokenBuckets(quota.perSecond(), quota.burst())));
    }

    /** Why a request that has just arrived may not even wait; empty if it may. */
    Optional<String> rejectionOnArrival(long nowMicros, QueueEntry entry) {
        QueuedRequest request = entry.request();
        Quota ownerQuota = settings.get().quotaOfOwner(request.owner());
        Quota tenantQuota = settings.get().quotaOfTenant(request.tenant());
        if (ownerQuota.isSmallerThan(request)) {
            return Optional.of(RejectionText.ownerQuotaTooSmall(ownerQuota));
        }
        if (tenantQuota.isSmallerThan(request)
                || settings.get().siteQuota().isSmallerThan(request)) {
            return Optional.of(RejectionText.TENANT_OR_SITE_QUOTA_TOO_SMALL);
        }
        if (entry.owner().usage().waitingTasks() >= ownerQuota.maxWaiting()) {
            return Optional.of(RejectionText.tooManyWaitingOfOwner(ownerQuota));
        }
        if (entry.tenant().usage().waitingTasks() >= tenantQuota.maxWaiting()) {
            return Optional.of(RejectionText.tooManyWaitingOfTenant(tenantQuota));
        }
        if (!settings.get().shedClasses().contains(request.taskClass())) {
            return Optional.empty();
        }
        return Optional.ofNullable(block(nowMicros, entry))
                .map(block -> RejectionText.classDoesNotWait(block, request.taskClass()));
    }

    /** The first quota that the request would exceed now; null if none. */
    QuotaBlock block(long nowMicros, QueueEntry entry) {
        QuotaBlock ownerBlock = ownerBlock(nowMicros, entry);
        return ownerBlock != null ? ownerBlock : sharedBlock(nowMicros, entry);
    }

    /** The owner's quota that the request would exceed now; null if none. */
    QuotaBlock ownerBlock(long nowMicros, QueueEntry entry) {
        UsageTotals usage = entry.owner().usage();
        Quota quota = settings.get().quotaOfOwner(usage.name());
        QuotaBlock block = sizeBlock(QuotaScope.OWNER, quota, usage, entry.request());
        return block != null
                ? block
                : rateBlock(nowMicros, QuotaScope.OWNER, quota, usage, ownerRate(usage.name()));
    }

    /** The tenant's or the site's quota that the request would exceed now; null if none. */
    QuotaBlock sharedBlock(long nowMicros, QueueEntry entry) {
        QuotaBlock tenantBlock = tenantBlock(nowMicros, entry);
        return tenantBlock != null ? tenantBlock : siteBlock(nowMicros, entry);
    }

    private QuotaBlock tenantBlock(long nowMicros, QueueEntry entry) {
        UsageTotals usage = entry.tenant().usage();
        Quota quota = settings.get().quotaOfTenant(usage.name());
        QuotaBlock block = sizeBlock(QuotaScope.TENANT, quota, usage, entry.request());
        return block != null
                ? block
                : rateBlock(nowMicros, QuotaScope.TENANT, quota, usage, tenantRate(usage.name()));
    }

    private QuotaBlock siteBlock(long nowMicros, QueueEntry entry) {
        Quota quota = settings.get().siteQuota();
        QuotaBlock block = sizeBlock(QuotaScope.SITE, quota, site, entry.request());
        return block != null ? block : rateBlock(nowMicros, QuotaScope.SITE, quota, site, siteRate);
    }

    private static QuotaBlock sizeBlock(
            QuotaScope scope, Quota quota, UsageTotals usage, QueuedRequest request) {
        if (usage.activeTasks() + 1 > quota.maxTasks()) {
            return untimedBlock(scope, QuotaNames.TASKS, quota.maxTasks(), usage.activeTasks());
        } else if (usage.activeCores() + request.cores() > quota.maxCores() + TOLERANCE) {
            return untimedBlock(scope, QuotaNames.CORES, quota.maxCores(), usage.activeCores());
        } else if (usage.activeMemory() + request.memory() > quota.maxMemory() + TOLERANCE) {
            return untimedBlock(scope, QuotaNames.MEMORY, quota.maxMemory(), usage.activeMemory());
        }
        return null;
    }

    private static QuotaBlock untimedBlock(
            QuotaScope scope, String quotaName, double limit, double usage) {
        return new QuotaBlock(scope, quotaName, limit, usage, QuotaBlock.NO_TIME_LIMIT_MICROS);
    }

    private static QuotaBlock rateBlock(
            long nowMicros, QuotaScope scope, Quota quota, UsageTotals usage, TokenBuckets rate) {
        if (!quota.limitsRate() || rate.hasToken(nowMicros, usage.name())) {
            return null;
        }
        return new QuotaBlock(
                scope,
                QuotaNames.TASK_RATE,
                quota.perSecond(),
                quota.perSecond(),
                rate.nextTokenAtMicros(nowMicros, usage.name()));
    }

    /** Takes a request's first dispatch from the dispatch rates. */
    void recordFirstDispatch(long nowMicros, QueueEntry entry) {
        String owner = entry.owner().name();
        String tenant = entry.tenant().name();
        ownerRate(owner).take(nowMicros, owner);
        tenantRate(tenant).take(nowMicros, tenant);
        siteRate.take(nowMicros, site.name());
    }

    private TokenBuckets ownerRate(String owner) {
        return ratesByOwner.getOrDefault(owner, ownerRates);
    }

    private TokenBuckets tenantRate(String tenant) {
        return ratesByTenant.getOrDefault(tenant, tenantRates);
    }
}
