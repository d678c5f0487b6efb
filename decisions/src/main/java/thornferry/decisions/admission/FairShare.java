package thornferry.decisions.admission;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import thornferry.decisions.membership.ClusterView;

/**
 * Orders tenants by dominant resource fairness (A. Ghodsi et al., NSDI 2011): the tenant with the
 * lowest weighted dominant share, which is its dominant share divided by its weight, is served
 * next.
 */
final class FairShare {
    private final Supplier<AdmissionSettings> settings;
    private final ClusterView cluster;
    private final QueueIndex index;
    private long selectedCount;

    FairShare(Supplier<AdmissionSettings> settings, ClusterView cluster, QueueIndex index) {
        this.settings = settings;
        this.cluster = cluster;
        this.index = index;
    }

    /**
     * Selects the eligible entry to dispatch next, if any, and counts the selection. Every {@link
     * AdmissionSettings#oldestEvery}-th selection is that of the oldest entry, which bounds the
     * wait of each entry.
     */
    Optional<QueueEntry> selectNext(Predicate<QueueEntry> eligible) {
        boolean isTurnOfOldest = (selectedCount + 1) % settings.get().oldestEvery() == 0;
        Optional<QueueEntry> next =
                isTurnOfOldest
                        ? index.oldestUnblocked().stream().filter(eligible).findFirst()
                        : Optional.empty();
        if (next.isEmpty()) {
            next = firstOfTenantWithLowestShare(eligible);
        }
        if (next.isPresent()) {
            selectedCount++;
        }
        return next;
    }

    private Optional<QueueEntry> firstOfTenantWithLowestShare(Predicate<QueueEntry> eligible) {
        Optional<QueueEntry> next = Optional.empty();
        double minShare = Double.POSITIVE_INFINITY;
        for (TenantQueue tenant : index.tenants()) {
            if (tenant.heads().isEmpty()) {
                continue;
            }
            double share = weightedDominantShare(tenant);
            Optional<QueueEntry> first =
                    share < minShare ? firstEligibleHead(tenant, eligible) : Optional.empty();
            if (first.isPresent()) {
                next = first;
                minShare = share;
            }
        }
        return next;
    }

    private static Optional<QueueEntry> firstEligibleHead(
            TenantQueue tenant, Predicate<QueueEntry> eligible) {
        return tenant.heads().stream().limit(QueueIndex.MAX_SCANNED).filter(eligible).findFirst();
    }

    private double weightedDominantShare(TenantQueue tenant) {
        return tenant.usage().dominantShare(cluster) / weight(tenant);
    }

    private double weight(TenantQueue tenant) {
        return settings.get().shareWeightOf(tenant.name());
    }

    /**
     * Returns whether another tenant with queued entries has a lower weighted dominant share and is
     * served first.
     */
    boolean isAboveFairShare(TenantQueue tenant) {
        double share = weightedDominantShare(tenant);
        return index.tenants().stream()
                .anyMatch(
                        other ->
                                other != tenant
                                        && !other.heads().isEmpty()
                                        && weightedDominantShare(other) < share);
    }

    /**
     * Returns the tenant's weight as a fraction of the sum over this tenant and all others with
     * waiting tasks.
     */
    double fractionOfWaiting(TenantQueue tenant) {
        double sum = 0;
        for (TenantQueue other : index.tenants()) {
            if (other == tenant || other.usage().waitingTasks() > 0) {
                sum += weight(other);
            }
        }
        return weight(tenant) / sum;
    }

    /**
     * Returns the last queued entry by priority of the tenant that has the most tasks in relation
     * to its weight.
     */
    Optional<QueueEntry> lastOfLargestTenant() {
        TenantQueue largest = null;
        for (TenantQueue tenant : index.tenants()) {
            if (tenant.usage().waitingTasks() > 0
                    && (largest == null || weightedTasks(tenant) > weightedTasks(largest))) {
                largest = tenant;
            }
        }
        TenantQueue largestTenant = largest;
        return index.owners().stream()
                .filter(owner -> owner.tenant() == largestTenant && !owner.isEmpty())
                .map(OwnerQueue::last)
                .max(QueueEntry.BY_PRIORITY);
    }

    private double weightedTasks(TenantQueue tenant) {
        UsageTotals usage = tenant.usage();
        return (usage.waitingTasks() + usage.activeTasks()) / weight(tenant);
    }
}
