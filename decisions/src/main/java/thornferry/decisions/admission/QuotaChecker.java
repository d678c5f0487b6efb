package thornferry.decisions.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Checks requests against the quotas of their owner, their tenant and the site. */
final class QuotaChecker {
    /** Tolerance for the rounding errors of sums of cores and memory. */
    private static final double TOLERANCE = 1e-9;

    private final Supplier<AdmissionSettings> settings;
    private final UsageTotals site;

    /** Token buckets of the owners without a quota of their own. */
    private final TokenBuckets defaultOwnerBuckets = unlimitedBuckets();

    /** Token buckets of the tenants without a quota of their own. */
    private final TokenBuckets defaultTenantBuckets = unlimitedBuckets();

    private final TokenBuckets siteBucket = unlimitedBuckets();

    /** Token buckets by owner, for owners with a quota of their own. */
    private final Map<String, TokenBuckets> bucketsByOwner = new HashMap<>();

    /** Token buckets by tenant, for tenants with a quota of their own. */
    private final Map<String, TokenBuckets> bucketsByTenant = new HashMap<>();

    QuotaChecker(Supplier<AdmissionSettings> settings, UsageTotals site) {
        this.settings = settings;
        this.site = site;
        applySettings();
    }

    private static TokenBuckets unlimitedBuckets() {
        return new TokenBuckets(0, Double.POSITIVE_INFINITY);
    }

    /** Applies the dispatch rates of the current settings. */
    void applySettings() {
        AdmissionSettings current = settings.get();
        configure(defaultOwnerBuckets, current.ownerQuota());
        configure(defaultTenantBuckets, current.tenantQuota());
        configure(siteBucket, current.siteQuota());
        replaceBuckets(bucketsByOwner, current.ownerQuotas());
        replaceBuckets(bucketsByTenant, current.tenantQuotas());
    }

    private static void configure(TokenBuckets buckets, Quota quota) {
        buckets.configure(quota.perSecond(), quota.burst());
    }

    private static void replaceBuckets(
            Map<String, TokenBuckets> bucketsByName, Map<String, Quota> quotas) {
        bucketsByName.clear();
        quotas.forEach(
                (name, quota) ->
                        bucketsByName.put(
                                name, new TokenBuckets(quota.perSecond(), quota.burst())));
    }

    /**
     * Returns the rejection sentence for a request that has just arrived and may not wait; empty if
     * it may wait.
     */
    Optional<String> findRejectionOnArrival(long nowMicros, QueueEntry entry) {
        QueuedRequest request = entry.request();
        Quota ownerQuota = settings.get().quotaOfOwner(request.owner());
        Quota tenantQuota = settings.get().quotaOfTenant(request.tenant());
        if (ownerQuota.isTooSmallFor(request)) {
            return Optional.of(RejectionText.ownerQuotaTooSmall(ownerQuota));
        }
        if (tenantQuota.isTooSmallFor(request)
                || settings.get().siteQuota().isTooSmallFor(request)) {
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
        return Optional.ofNullable(findBlock(nowMicros, entry))
                .map(block -> RejectionText.classDoesNotWait(block, request.taskClass()));
    }

    /**
     * Returns the first quota that a dispatch of the request would exceed now, or null if there is
     * none.
     */
    QuotaBlock findBlock(long nowMicros, QueueEntry entry) {
        QuotaBlock ownerBlock = findOwnerBlock(nowMicros, entry);
        return ownerBlock != null ? ownerBlock : findTenantOrSiteBlock(nowMicros, entry);
    }

    /**
     * Returns the owner's quota that a dispatch of the request would exceed now, or null if there
     * is none.
     */
    QuotaBlock findOwnerBlock(long nowMicros, QueueEntry entry) {
        UsageTotals usage = entry.owner().usage();
        Quota quota = settings.get().quotaOfOwner(usage.name());
        QuotaBlock block = findUsageBlock(QuotaScope.OWNER, quota, usage, entry.request());
        return block != null
                ? block
                : findRateBlock(
                        nowMicros, QuotaScope.OWNER, quota, usage, bucketsOfOwner(usage.name()));
    }

    /**
     * Returns the quota of the tenant or the site that a dispatch of the request would exceed now,
     * or null if there is none.
     */
    QuotaBlock findTenantOrSiteBlock(long nowMicros, QueueEntry entry) {
        QuotaBlock tenantBlock = findTenantBlock(nowMicros, entry);
        return tenantBlock != null ? tenantBlock : findSiteBlock(nowMicros, entry);
    }

    private QuotaBlock findTenantBlock(long nowMicros, QueueEntry entry) {
        UsageTotals usage = entry.tenant().usage();
        Quota quota = settings.get().quotaOfTenant(usage.name());
        QuotaBlock block = findUsageBlock(QuotaScope.TENANT, quota, usage, entry.request());
        return block != null
                ? block
                : findRateBlock(
                        nowMicros, QuotaScope.TENANT, quota, usage, bucketsOfTenant(usage.name()));
    }

    private QuotaBlock findSiteBlock(long nowMicros, QueueEntry entry) {
        Quota quota = settings.get().siteQuota();
        QuotaBlock block = findUsageBlock(QuotaScope.SITE, quota, site, entry.request());
        return block != null
                ? block
                : findRateBlock(nowMicros, QuotaScope.SITE, quota, site, siteBucket);
    }

    private static QuotaBlock findUsageBlock(
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

    private static QuotaBlock findRateBlock(
            long nowMicros,
            QuotaScope scope,
            Quota quota,
            UsageTotals usage,
            TokenBuckets buckets) {
        if (!quota.limitsRate() || buckets.hasToken(nowMicros, usage.name())) {
            return null;
        }
        return new QuotaBlock(
                scope,
                QuotaNames.TASK_RATE,
                quota.perSecond(),
                quota.perSecond(),
                buckets.nextTokenAtMicros(nowMicros, usage.name()));
    }

    /**
     * Takes a token for a request's first dispatch from the buckets of its owner, its tenant and
     * the site.
     */
    void recordFirstDispatch(long nowMicros, QueueEntry entry) {
        String owner = entry.owner().name();
        String tenant = entry.tenant().name();
        bucketsOfOwner(owner).take(nowMicros, owner);
        bucketsOfTenant(tenant).take(nowMicros, tenant);
        siteBucket.take(nowMicros, site.name());
    }

    private TokenBuckets bucketsOfOwner(String owner) {
        return bucketsByOwner.getOrDefault(owner, defaultOwnerBuckets);
    }

    private TokenBuckets bucketsOfTenant(String tenant) {
        return bucketsByTenant.getOrDefault(tenant, defaultTenantBuckets);
    }
}
