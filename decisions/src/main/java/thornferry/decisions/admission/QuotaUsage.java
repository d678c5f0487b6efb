package thornferry.decisions.admission;

/**
 * The usage of an owner, a tenant or the site, beside its quota.
 *
 * @param name the owner or tenant; empty for the site
 * @param waiting tasks that wait in the queue or back off
 * @param tasks tasks dispatched or placed
 * @param cores cores of the dispatched and placed tasks
 * @param memory memory of the dispatched and placed tasks, in the unit of the machine sizes
 * @param dominantShare dominant share: the larger of the fractions of all ready machines' cores and
 *     memory
 * @param quota the limits that apply
 */
public record QuotaUsage(
        String name,
        int waiting,
        int tasks,
        double cores,
        double memory,
        double dominantShare,
        Quota quota) {}
