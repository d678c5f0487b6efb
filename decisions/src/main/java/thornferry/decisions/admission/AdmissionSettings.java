package thornferry.decisions.admission;

import static thornferry.decisions.admission.SettingOutOfRangeException.requireAtLeast;
import static thornferry.decisions.admission.SettingOutOfRangeException.requirePositive;

import java.util.Map;
import java.util.Set;

/**
 * The settings of admission control. A reload may change any of them.
 *
 * @param enabled whether requests are queued; if not, each request is dispatched at once and no
 *     pending reasons are recorded
 * @param maxQueued maximum number of waiting tasks; when it is exceeded, the last task by priority
 *     of the tenant with the most tasks for its weight is rejected
 * @param maxDispatched maximum number of tasks that the policy holds without an attempt in flight;
 *     the rest wait in the queue
 * @param recallAfterMicros time after which a task that the policy holds without an attempt in
 *     flight is recalled if the policy holds the maximum number and other tasks wait, in
 *     microseconds
 * @param backoffMicros first backoff of a recalled task, in microseconds; doubles with each recall
 *     up to 16 times the first, and ends early when a machine reports enough capacity
 * @param targetWaitFraction overload begins when every task dispatched within an interval has
 *     waited at least this fraction of its maximum wait
 * @param intervalMicros length of the interval of {@code targetWaitFraction}, in microseconds; also
 *     the time between the first two tasks shed
 * @param oldestEvery of this many successive dispatches, one is that of the oldest waiting task,
 *     regardless of its priority weight and tenant; at least 2
 * @param largeTaskFraction a task that needs at least this fraction of the largest machine's cores
 *     or memory is large; with 1 or more no task is large
 * @param reserveAfterMicros time after its arrival at which a large task without capacity gets a
 *     reservation, in microseconds
 * @param reserveForMicros maximum length of a reservation, in microseconds; after that time no
 *     reservation begins for three times as long; 0 disables reservations
 * @param retryRatio retries allowed for each new request of an owner, and for each attempt on a
 *     machine that is not a retry
 * @param retryPerSecond retries per second that each owner and machine is allowed regardless of new
 *     requests
 * @param minRetryAfterMicros minimum Retry-After of a rejected task before its random spread, which
 *     may reduce it to half, in microseconds
 * @param maxRetryAfterMicros maximum Retry-After of a rejected task, in microseconds
 * @param ownerQuota quota of each owner that {@code ownerQuotas} does not name
 * @param tenantQuota quota of each tenant that {@code tenantQuotas} does not name
 * @param siteQuota quota of all tenants together
 * @param ownerQuotas quotas by owner, for owners with a quota of their own
 * @param tenantQuotas quotas by tenant, for tenants with a quota of their own
 * @param tenantShares fair-share weights by tenant, each above 0; tenants that are not listed have
 *     weight 1
 * @param shedClasses task classes whose tasks are rejected on arrival when a quota is reached;
 *     tasks of other classes wait
 */
public record AdmissionSettings(
        boolean enabled,
        int maxQueued,
        int maxDispatched,
        long recallAfterMicros,
        long backoffMicros,
        double targetWaitFraction,
        long intervalMicros,
        int oldestEvery,
        double largeTaskFraction,
        long reserveAfterMicros,
        long reserveForMicros,
        double retryRatio,
        double retryPerSecond,
        long minRetryAfterMicros,
        long maxRetryAfterMicros,
        Quota ownerQuota,
        Quota tenantQuota,
        Quota siteQuota,
        Map<String, Quota> ownerQuotas,
        Map<String, Quota> tenantQuotas,
        Map<String, Double> tenantShares,
        Set<String> shedClasses) {
    private static final double DEFAULT_SHARE_WEIGHT = 1;

    /**
     * Checks the range of each setting and copies the collections.
     *
     * @throws SettingOutOfRangeException if a setting is outside its range
     */
    public AdmissionSettings {
        requireAtLeast("maxQueued", maxQueued, 1);
        requireAtLeast("maxDispatched", maxDispatched, 1);
        requireAtLeast("recallAfterMicros", recallAfterMicros, 1);
        requireAtLeast("backoffMicros", backoffMicros, 1);
        requirePositive("targetWaitFraction", targetWaitFraction);
        requireAtLeast("intervalMicros", intervalMicros, 1);
        requireAtLeast("oldestEvery", oldestEvery, 2);
        requirePositive("largeTaskFraction", largeTaskFraction);
        requireAtLeast("reserveAfterMicros", reserveAfterMicros, 1);
        requireAtLeast("reserveForMicros", reserveForMicros, 0);
        requireAtLeast("retryRatio", retryRatio, 0);
        requireAtLeast("retryPerSecond", retryPerSecond, 0);
        requireAtLeast("minRetryAfterMicros", minRetryAfterMicros, 1);
        requireAtLeast("maxRetryAfterMicros", maxRetryAfterMicros, minRetryAfterMicros);
        tenantShares.forEach(
                (tenant, weight) ->
                        requirePositive("fair-share weight of tenant " + tenant, weight));
        ownerQuotas = Map.copyOf(ownerQuotas);
        tenantQuotas = Map.copyOf(tenantQuotas);
        tenantShares = Map.copyOf(tenantShares);
        shedClasses = Set.copyOf(shedClasses);
    }

    /** Returns the default settings, which have no quotas. */
    public static AdmissionSettings defaults() {
        return new AdmissionSettings(
                true,
                100_000,
                64,
                60_000,
                250_000,
                0.3,
                1_000_000,
                8,
                0.3,
                1_000_000,
                1_000_000,
                0.5,
                10,
                500_000,
                30_000_000,
                Quota.UNLIMITED,
                Quota.UNLIMITED,
                Quota.UNLIMITED,
                Map.of(),
                Map.of(),
                Map.of(),
                Set.of());
    }

    /**
     * Returns a copy with other quotas.
     *
     * @param newOwnerQuota new {@link #ownerQuota}; null to keep the present one
     * @param newTenantQuota new {@link #tenantQuota}; null to keep the present one
     * @param newSiteQuota new {@link #siteQuota}; null to keep the present one
     * @param newTenantShares new {@link #tenantShares}; null to keep the present ones
     */
    public AdmissionSettings withQuotas(
            Quota newOwnerQuota,
            Quota newTenantQuota,
            Quota newSiteQuota,
            Map<String, Double> newTenantShares) {
        return copy(
                enabled,
                reserveForMicros,
                newOwnerQuota == null ? ownerQuota : newOwnerQuota,
                newTenantQuota == null ? tenantQuota : newTenantQuota,
                newSiteQuota == null ? siteQuota : newSiteQuota,
                newTenantShares == null ? tenantShares : newTenantShares);
    }

    /** Returns a copy with queueing disabled. */
    public AdmissionSettings withQueueingDisabled() {
        return copy(false, reserveForMicros, ownerQuota, tenantQuota, siteQuota, tenantShares);
    }

    /** Returns a copy without capacity reservations for large tasks. */
    public AdmissionSettings withoutReservations() {
        return copy(enabled, 0, ownerQuota, tenantQuota, siteQuota, tenantShares);
    }

    private AdmissionSettings copy(
            boolean newEnabled,
            long newReserveForMicros,
            Quota newOwnerQuota,
            Quota newTenantQuota,
            Quota newSiteQuota,
            Map<String, Double> newTenantShares) {
        return new AdmissionSettings(
                newEnabled,
                maxQueued,
                maxDispatched,
                recallAfterMicros,
                backoffMicros,
                targetWaitFraction,
                intervalMicros,
                oldestEvery,
                largeTaskFraction,
                reserveAfterMicros,
                newReserveForMicros,
                retryRatio,
                retryPerSecond,
                minRetryAfterMicros,
                maxRetryAfterMicros,
                newOwnerQuota,
                newTenantQuota,
                newSiteQuota,
                ownerQuotas,
                tenantQuotas,
                newTenantShares,
                shedClasses);
    }

    Quota quotaOfOwner(String name) {
        return ownerQuotas.getOrDefault(name, ownerQuota);
    }

    Quota quotaOfTenant(String name) {
        return tenantQuotas.getOrDefault(name, tenantQuota);
    }

    double shareWeightOf(String name) {
        return tenantShares.getOrDefault(name, DEFAULT_SHARE_WEIGHT);
    }
}
