package thornferry.decisions.admission;

import java.util.Map;
import java.util.Set;

/**
 * What the waiting line goes by. All of it may change at a reload. Times are microseconds.
 *
 * @param enabled whether there is a line at all; without one every task is asked for at once and no
 *     reasons are kept
 * @param maxQueued tasks that may wait; beyond, the one that comes last in order is refused
 * @param maxDispatched tasks that the module may hold, without an offer out, at once; the rest wait
 *     in line
 * @param recallAfterMicros a task that the module holds for so long, while others wait, goes back
 *     into the line
 * @param backoffMicros it is asked for again after so long, or when room comes; doubles up to 16
 *     times that
 * @param targetWaitFraction overload begins where for a whole {@code intervalMicros} every task
 *     asked for had waited longer than this part of its patience
 * @param intervalMicros see {@code targetWaitFraction}; also the time between the first two tasks
 *     that overload sheds
 * @param oldestEvery every so-manieth task asked for is the one that waits longest, whatever its
 *     worth and tenant
 * @param largeTaskFraction a task of this part of the largest machine, in cores or memory, is a
 *     large one; 1 or more for none
 * @param reserveAfterMicros a large task that waits so long for room has smaller ones of less worth
 *     held back for it
 * @param reserveForMicros for so long at the most; and then not again for three times that
 * @param retryRatio asks again that an owner, or a machine, may cause for each first one
 * @param retryPerSecond asks again that are always borne
 * @param minRetryAfterMicros least retry-after of a task refused early, {@code maxRetryAfterMicros}
 *     the most
 * @param ownerQuota what each owner may, where {@code ownerQuotas} does not say
 * @param tenantQuota what each tenant may, where {@code tenantQuotas} does not say
 * @param siteQuota what all may together
 * @param tenantShares weights of the tenants; 1 where not told
 * @param shedClasses classes whose tasks are refused where a limit is reached; others wait
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
    public AdmissionSettings {
        if (maxQueued < 1
                || maxDispatched < 1
                || recallAfterMicros <= 0
                || backoffMicros <= 0
                || !(targetWaitFraction > 0)
                || intervalMicros <= 0
                || oldestEvery < 2
                || !(largeTaskFraction > 0)
                || reserveAfterMicros <= 0
                || reserveForMicros < 0
                || !(retryRatio >= 0)
                || !(retryPerSecond >= 0)
                || minRetryAfterMicros <= 0
                || maxRetryAfterMicros < minRetryAfterMicros) {
            throw new IllegalArgumentException("the line's settings are out of range");
        }
        tenantShares.forEach(
                (name, shareOf) -> {
                    if (!(shareOf > 0)) {
                        throw new IllegalArgumentException(
                                "the share of tenant " + name + " must be above 0");
                    }
                });
        ownerQuotas = Map.copyOf(ownerQuotas);
        tenantQuotas = Map.copyOf(tenantQuotas);
        tenantShares = Map.copyOf(tenantShares);
        shedClasses = Set.copyOf(shedClasses);
    }

    /** A line that limits nothing but its own length. */
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
     * The same with other limits for all owners, for one, or for all together; null keeps what is.
     */
    public AdmissionSettings withQuotas(
            Quota eachOwner, Quota eachTenant, Quota together, Map<String, Double> weights) {
        return new AdmissionSettings(
                enabled,
                maxQueued,
                maxDispatched,
                recallAfterMicros,
                backoffMicros,
                targetWaitFraction,
                intervalMicros,
                oldestEvery,
                largeTaskFraction,
                reserveAfterMicros,
                reserveForMicros,
                retryRatio,
                retryPerSecond,
                minRetryAfterMicros,
                maxRetryAfterMicros,
                eachOwner == null ? ownerQuota : eachOwner,
                eachTenant == null ? tenantQuota : eachTenant,
                together == null ? siteQuota : together,
                ownerQuotas,
                tenantQuotas,
                weights == null ? tenantShares : weights,
                shedClasses);
    }

    /** The same without a line. */
    public AdmissionSettings disabled() {
        return new AdmissionSettings(
                false,
                maxQueued,
                maxDispatched,
                recallAfterMicros,
                backoffMicros,
                targetWaitFraction,
                intervalMicros,
                oldestEvery,
                largeTaskFraction,
                reserveAfterMicros,
                reserveForMicros,
                retryRatio,
                retryPerSecond,
                minRetryAfterMicros,
                maxRetryAfterMicros,
                ownerQuota,
                tenantQuota,
                siteQuota,
                ownerQuotas,
                tenantQuotas,
                tenantShares,
                shedClasses);
    }

    /** The same without room being kept for large tasks. */
    public AdmissionSettings withoutReservations() {
        return new AdmissionSettings(
                enabled,
                maxQueued,
                maxDispatched,
                recallAfterMicros,
                backoffMicros,
                targetWaitFraction,
                intervalMicros,
                oldestEvery,
                largeTaskFraction,
                reserveAfterMicros,
                0,
                retryRatio,
                retryPerSecond,
                minRetryAfterMicros,
                maxRetryAfterMicros,
                ownerQuota,
                tenantQuota,
                siteQuota,
                ownerQuotas,
                tenantQuotas,
                tenantShares,
                shedClasses);
    }

    Quota quotaOfOwner(String name) {
        return ownerQuotas.getOrDefault(name, ownerQuota);
    }

    Quota quotaOfTenant(String name) {
        return tenantQuotas.getOrDefault(name, tenantQuota);
    }

    double shareOf(String name) {
        return tenantShares.getOrDefault(name, 1.0);
    }
}
