package thornferry.decisions.admission;

import static thornferry.decisions.admission.SettingOutOfRangeException.requireAtLeast;
import static thornferry.decisions.admission.SettingOutOfRangeException.requirePositive;

/**
 * The limits of an owner, a tenant or the site. A component that is positive infinity sets no
 * limit.
 *
 * @param maxWaiting maximum number of waiting tasks; further tasks are rejected
 * @param maxTasks maximum number of tasks that are dispatched or placed at a time
 * @param perSecond maximum number of tasks dispatched per second
 * @param burst maximum number of tasks that may be dispatched at once after a pause
 * @param maxCores maximum sum of the cores of the tasks that are dispatched or placed at a time
 * @param maxMemory maximum sum of the memory of the tasks that are dispatched or placed at a time,
 *     in the unit of the task specifications
 */
public record Quota(
        double maxWaiting,
        double maxTasks,
        double perSecond,
        double burst,
        double maxCores,
        double maxMemory) {
    /** A quota without limits. */
    public static final Quota UNLIMITED =
            new Quota(
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY);

    /**
     * Checks the range of each limit.
     *
     * @throws SettingOutOfRangeException if a limit is outside its range
     */
    public Quota {
        requireAtLeast("maxWaiting", maxWaiting, 0);
        requirePositive("maxTasks", maxTasks);
        requirePositive("perSecond", perSecond);
        requireAtLeast("burst", burst, 1);
        requirePositive("maxCores", maxCores);
        requirePositive("maxMemory", maxMemory);
    }

    /** Returns whether the quota limits the dispatch rate. */
    boolean limitsRate() {
        return perSecond < Double.POSITIVE_INFINITY;
    }

    /** Returns whether the request's task alone exceeds the limit on cores or memory. */
    boolean isTooSmallFor(QueuedRequest request) {
        return request.cores() > maxCores || request.memory() > maxMemory;
    }
}
