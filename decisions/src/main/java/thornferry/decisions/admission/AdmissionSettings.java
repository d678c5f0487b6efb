package thornferry.decisions.admission;

import static thornferry.decisions.admission.SettingOutOfRangeException.requireAtLeast;
import static thornferry.decisions.admission.SettingOutOfRangeException.requirePositive;

import java.util.Map;
import java.util.Set;

/**
 * Settings of admission control. All of them may change at a reload.
 *
 * @param enabled whether requests queue at all; if not, each is dispatched at once and no reasons
 *     for waiting are recorded
 * @param maxQueued maximum number of waiting tasks; beyond, the last by priority is rejected
 * @param maxDispatched maximum number of tasks that the policy holds without an attempt in flight;
 *     the rest wait in the queue
 * @param recallAfterMicros time after which a task that the policy holds is recalled if others
 *     wait, in microseconds
 * @param backoffMicros backoff of a recalled task, in microseconds; doubles up to 16 times that,
 *     and ends early when capacity is seen
 * @param targetWaitFraction overload begins when every task dispatched within an interval had
 *     waited longer than this fraction of its maximum wait
 * @param intervalMicros length of that interval, in microseconds; also the time between the first
 *     two tasks shed
 * @param oldestEvery every so-many-th dispatch is that of the longest waiting task, whatever its
 *     priority weight and tenant; at least 2
 * @param largeTaskFraction a task that needs this fraction of the largest machine's cores or memory
 *     is large; 1 or more for none
 * @param reserveAfterMicros wait for capacity after which a large task gets a reservation, in
 *     microseconds
 * @param reserveForMicros maximum length of a reservation, in microseconds; none follows for three
 *     times as long; 0 for no reservations
 * @param retryRatio retries that an owner, or a machine, may cause for each new request
 * @param retryPerSecond retries per second that are allowed in any case
 * @param minRetryAfterMicros minimum Retry-After of a rejected task, in microseconds
 * @param maxRetryAfterMicros maximum Retry-After of a rejected task, in microseconds
 * @param ownerQuota quota of each owner that {@code ownerQuotas} does not name
 * @param tenantQuota quota of each tenant that {@code tenantQuotas} does not name
 * @param siteQuota quota of all tenants together
 * @param ownerQuotas quotas by owner
 * @param tenantQuotas quotas by tenant
 * @param tenantShares fair-share weights by tenant, above 0; 1 for tenants not named
 * @param shedClasses classes whose tasks are rejected when a quota is reached; others wait
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
    private static final double DEFAULT_SHARE = 1;

    /** Checks the range of each setting and copies the collections. */
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
        tenantShares.forEach((tenant, share) -> requirePositive("share of " + tenant, share));
        ownerQuotas = Map.copyOf(ownerQuotas);
        tenantQuotas = Map.copyOf(tenantQuotas);
        tenantShares = Map.copyOf(tenantShares);
        shedClasses = Set.copyOf(shedClasses);
    }

    /** Default settings: no limits but that of the queue's length. */
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
     * A copy with other quotas.
     *
     * @param eachOwner new {@link #ownerQuota}; null to leave it
     * @param eachTenant new {@link #tenantQuota}; null to leave it
     * @param together new {@link #siteQuota}; null to leave it
     * @param weights new {@link #tenantShares}; null to leave them
     */
    public AdmissionSettings withQuotas(
            Quota eachOwner, Quota eachTenant, Quota together, Map<String, Double> weights) {
        return copy(
                enabled,
                reserveForMicros,
                eachOwner == null ? ownerQuota : eachOwner,
                eachTenant == null ? tenantQuota : eachTenant,
                together == null ? siteQuota : together,
                weights == null ? tenantShares : weights);
    }

    /** A copy with queueing disabled. */
    public AdmissionSettings disabled() {
        return copy(false, reserveForMicros, ownerQuota, tenantQuota, siteQuota, tenantShares);
    }

    /** A copy without capacity reservations for large tasks. */
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

    double shareOf(String name) {
        return tenantShares.getOrDefault(name, DEFAULT_SHARE);
    }
}
