package thornferry.decisions.admission;

import static thornferry.decisions.admission.SettingOutOfRangeException.requireAtLeast;
import static thornferry.decisions.admission.SettingOutOfRangeException.requirePositive;

/**
 * Limits of an owner, a tenant or the site. Positive infinity stands for "unlimited" in each
 * component.
 *
 * @param maxWaiting tasks that may wait; a further one is rejected
 * @param maxTasks tasks dispatched or placed at a time
 * @param perSecond tasks dispatched per second
 * @param burst tasks that may be dispatched at once after a pause
 * @param maxCores cores of the tasks dispatched or placed at a time
 * @param maxMemory memory of the tasks dispatched or placed at a time, in the unit of the machine
 *     sizes
 */
public record Quota(
        double maxWaiting,
        double maxTasks,
        double perSecond,
        double burst,
        double maxCores,
        double maxMemory) {
    /** Limits nothing. */
    public static final Quota UNLIMITED =
            new Quota(
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY,
                    Double.POSITIVE_INFINITY);

    /** Checks the range of each limit. */
    public Quota {
        requireAtLeast("maxWaiting", maxWaiting, 0);
        requirePositive("maxTasks", maxTasks);
        requirePositive("perSecond", perSecond);
        requireAtLeast("burst", burst, 1);
        requirePositive("maxCores", maxCores);
        requirePositive("maxMemory", maxMemory);
    }

    /** Whether the dispatch rate is limited. */
    boolean limitsRate() {
        return perSecond < Double.POSITIVE_INFINITY;
    }

    /** Whether a task of this size exceeds the quota even when nothing else runs. */
    boolean isSmallerThan(QueuedRequest request) {
        return request.cores() > maxCores || request.memory() > maxMemory;
    }
}
