package thornferry.decisions.admission;

import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import thornferry.decisions.membership.ClusterView;

/**
 * Orders tenants by dominant resource fairness (A. Ghodsi et al., NSDI 2011): the tenant with the
 * lowest dominant share in relation to its weight comes next.
 */
final class FairShare {
    private final Supplier<AdmissionSettings> settings;
    private final ClusterView cluster;
    private final QueueIndex index;
    private long selected;

    FairShare(Supplier<AdmissionSettings> settings, ClusterView cluster, QueueIndex index) {
        this.settings = settings;
        this.cluster = cluster;
        this.index = index;
    }

    /**
     * The eligible entry that comes next, counted as a turn. Each {@link
     * AdmissionSettings#oldestEvery}-th turn is that of the oldest entry, which bounds every wait.
     */
    Optional<QueueEntry> selectNext(Predicate<QueueEntry> eligible) {
        boolean turnOfOldest = (selected + 1) % settings.get().oldestEvery() == 0;
        Optional<QueueEntry> next =
                turnOfOldest
                        ? index.oldestUnblocked().stream().filter(eligible).findFirst()
                        : Optional.empty();
        if (next.isEmpty()) {
            next = firstOfNeediestTenant(eligible);
        }
        if (next.isPresent()) {
            selected++;
        }
        return next;
    }

    private Optional<QueueEntry> firstOfNeediestTenant(Predicate<QueueEntry> eligible) {
        Optional<QueueEntry> best = Optional.empty();
        double minShare = Double.POSITIVE_INFINITY;
        for (TenantQueue tenant : index.tenants()) {
            if (tenant.heads().isEmpty()) {
                continue;
            }
            double share = weightedDominantShare(tenant);
            Optional<QueueEntry> first =
                    share < minShare ? firstEligibleHead(tenant, eligible) : Optional.empty();
            if (first.isPresent()) {
                best = first;
                minShare = share;
            }
        }
        return best;
    }

    private static Optional<QueueEntry> firstEligibleHead(
            TenantQueue tenant, Predicate<QueueEntry> eligible) {
        return tenant.heads().stream().limit(QueueIndex.MAX_SCANNED).filter(eligible).findFirst();
    }

    private double weightedDominantShare(TenantQueue tenant) {
        return tenant.usage().dominantShare(cluster) / weight(tenant);
    }

    private double weight(TenantQueue tenant) {
        return settings.get().shareOf(tenant.name());
    }

    /** Whether another tenant with queued entries has a lower share, and so comes first. */
    boolean isAboveFairShare(TenantQueue tenant) {
        double share = weightedDominantShare(tenant);
        return index.tenants().stream()
                .anyMatch(
                        other ->
                                other != tenant
                                        && !other.heads().isEmpty()
                                        && weightedDominantShare(other) < share);
    }

    /** A tenant's fraction of the weights of all tenants with waiting tasks. */
    double fractionOfWaiting(TenantQueue tenant) {
        double sum = 0;
        for (TenantQueue other : index.tenants()) {
            if (other == tenant || other.usage().waitingTasks() > 0) {
                sum += weight(other);
            }
        }
        return weight(tenant) / sum;
    }

    /** The last queued entry by priority of the tenant with the most tasks for its weight. */
    Optional<QueueEntry> lastOfLargestTenant() {
        TenantQueue largest = null;
        for (TenantQueue tenant : index.tenants()) {
            if (tenant.usage().waitingTasks() > 0
                    && (largest == null || weightedTasks(tenant) > weightedTasks(largest))) {
                largest = tenant;
            }
        }
        TenantQueue chosen = largest;
        return index.owners().stream()
                .filter(owner -> owner.tenant() == chosen && !owner.isEmpty())
                .map(OwnerQueue::last)
                .max(QueueEntry.BY_PRIORITY);
    }

    private double weightedTasks(TenantQueue tenant) {
        UsageTotals usage = tenant.usage();
        return (usage.waitingTasks() + usage.activeTasks()) / weight(tenant);
    }
}
