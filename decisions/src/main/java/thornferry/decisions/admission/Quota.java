package thornferry.decisions.admission;

/**
 * @param maxWaiting tasks in the line; beyond, a new one is refused
 * @param maxTasks tasks asked for or placed at once; infinite for no limit, as below
 * @param perSecond tasks asked for a second
 * @param burst so many at once after a pause
 * @param maxCores of tasks asked for or placed at once
 * @param maxMemory likewise
 */
public record Quota(
        double maxWaiting,
        double maxTasks,
        double perSecond,
        double burst,
        double maxCores,
        double maxMemory) {
    public static final Quota UNLIMITED =
            new Quota(
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY);

    public Quota {
        if (!(maxWaiting >= 0)
                || !(maxTasks > 0)
                || !(perSecond > 0)
                || !(burst >= 1)
                || !(maxCores > 0)
                || !(maxMemory > 0)) {
            throw new IllegalArgumentException("a limit must be above 0, burst not under 1");
        }
    }
}
