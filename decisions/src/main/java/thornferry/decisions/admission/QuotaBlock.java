package thornferry.decisions.admission;

/**
 * A quota that blocks a request because the request would exceed it if dispatched now.
 *
 * @param scope the scope of the quota
 * @param quotaName name of the limited amount, see {@link QuotaNames}; clients receive this text
 * @param limit the amount that the quota allows
 * @param usage the amount in use
 * @param untilMicros time at which the quota allows the request if nothing else changes; {@link
 *     #NO_TIME_LIMIT_MICROS} if only the end of another task or a higher limit can end the block
 */
public record QuotaBlock(
        QuotaScope scope, String quotaName, double limit, double usage, long untilMicros) {
    /** {@link #untilMicros()} of a block that the passage of time alone does not end. */
    static final long NO_TIME_LIMIT_MICROS = Long.MAX_VALUE / 4;

    /**
     * Lower bound of the times that stand for "never". Both constants are small enough for the
     * current time to be added without overflow.
     */
    private static final long NEVER_FROM_MICROS = Long.MAX_VALUE / 8;

    /** Returns whether the passage of time alone ends the block. */
    boolean endsWithTime() {
        return untilMicros < NEVER_FROM_MICROS;
    }
}
