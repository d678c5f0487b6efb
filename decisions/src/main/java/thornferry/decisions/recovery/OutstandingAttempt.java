package thornferry.decisions.recovery;

/**
 * An attempt that was offered and is not proven never to have run.
 *
 * @param machine the machine that it was offered to
 * @param incarnation the incarnation of that machine at the time
 * @param offeredAtMicros in microseconds since 1970
 */
record OutstandingAttempt(String machine, long incarnation, long offeredAtMicros) {}
