package thornferry.decisions.admission;

/**
 * A quota that a request would exceed if it were dispatched now.
 *
 * @param scope whose usage the quota limits
 * @param quota name of the limited amount; this text reaches clients
 * @param limit the amount that the quota allows
 * @param usage the amount in use
 * @param untilMicros time at which the quota allows the request if nothing else changes; {@link
 *     #NO_TIME_LIMIT_MICROS} if only the end of another task or a higher limit can
 */
public record QuotaBlock(
        QuotaScope scope, String quota, double limit, double usage, long untilMicros) {
    /** {@link #untilMicros()} of a block that the passage of time alone does not end. */
    static final long NO_TIME_LIMIT_MICROS = Long.MAX_VALUE / 4;

    /** Times from here on count as never; leaves space for sums with {@code now}. */
    private static final long NEVER_FROM_MICROS = Long.MAX_VALUE / 8;

    /** Whether the passage of time alone ends the block. */
    boolean endsWithTime() {
        return untilMicros < NEVER_FROM_MICROS;
    }
}
