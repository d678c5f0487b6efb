package thornferry.decisions.recovery;

/**
 * An attempt that was offered and of which it is not yet known whether it ran.
 *
 * @param machine the machine that it was offered to
 * @param incarnation the incarnation of the machine at the time of the offer
 * @param offeredAtMicros the time of the offer, in microseconds since 1970
 */
record OutstandingAttempt(String machine, long incarnation, long offeredAtMicros) {}
