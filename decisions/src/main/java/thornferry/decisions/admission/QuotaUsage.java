package thornferry.decisions.admission;

/**
 * The usage of an owner, a tenant or the site, together with its quota.
 *
 * @param name name of the owner or tenant; empty for the site
 * @param waiting tasks that wait in the queue or back off
 * @param tasks tasks dispatched or placed
 * @param cores cores of the dispatched and placed tasks
 * @param memory memory of the dispatched and placed tasks, in the unit of the task specifications
 * @param dominantShare the larger of the fractions of all ready machines' cores and memory that
 *     these tasks use
 * @param quota the quota that applies
 */
public record QuotaUsage(
        String name,
        int waiting,
        int tasks,
        double cores,
        double memory,
        double dominantShare,
        Quota quota) {}
