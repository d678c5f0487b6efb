package thornferry.decisions.admission;

/**
 * A limit that holds a task back: whose ({@link QuotaScope}), which, how much it allows, and until
 * when if by time.
 */
public record QuotaBlock(
        QuotaScope scope, String quota, double limit, double usage, long untilMicros) {}
