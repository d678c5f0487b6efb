package thornferry.testbed.load;

/**
 * How new tasks fared in one second after a burst.
 *
 * @param secondsAfterBurst when that second began
 * @param placedInTimeFraction fraction of the tasks requested in it that were placed within a
 *     second, without a retry
 */
public record RecoveryPoint(double secondsAfterBurst, double placedInTimeFraction) {}
