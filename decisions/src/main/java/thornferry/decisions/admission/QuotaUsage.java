package thornferry.decisions.admission;

/** A tenant's or owner's use of its limits. */
public record QuotaUsage(
        String name,
        int waiting,
        int tasks,
        double cores,
        double memory,
        double share,
        Quota quota) {}
