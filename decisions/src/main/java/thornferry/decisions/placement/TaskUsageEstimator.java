package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Settings;

/**
 * Estimates which fraction of the requested resources tasks use, from observations of running own
 * tasks.
 */
final class TaskUsageEstimator {
    /** The initial estimate of the fraction of a request that tasks use. */
    private static final double INITIAL_USAGE = 0.75;

    /** The weight of the initial estimate, as a number of tasks of mean size. */
    private static final int INITIAL_TASKS = 4;

    private final ResourceVector used;
    private final ResourceVector requested;

    TaskUsageEstimator(Settings settings) {
        requested =
                new ResourceVector(
                        INITIAL_TASKS * settings.meanTaskCores(),
                        INITIAL_TASKS * settings.meanTaskMemory());
        used =
                new ResourceVector(
                        INITIAL_USAGE * requested.cores(), INITIAL_USAGE * requested.memory());
    }

    /**
     * Records the amount that a running task uses. A negative amount withdraws the earlier
     * observation.
     */
    void observe(TrackedTask task, Resource resource, double amount) {
        if (!Double.isFinite(amount)) {
            return;
        }
        double previous = task.observedUse().get(resource);
        used.add(resource, Math.max(0, amount) - Math.max(0, previous));
        int countChange = (amount >= 0 ? 1 : 0) - (previous >= 0 ? 1 : 0);
        requested.add(resource, task.requested().get(resource) * countChange);
        task.observedUse().set(resource, amount);
    }

    /** Removes a task that has ended from the estimate. */
    void remove(TrackedTask task) {
        observe(task, Resource.CORES, TrackedTask.NOT_OBSERVED);
        observe(task, Resource.MEMORY, TrackedTask.NOT_OBSERVED);
    }

    /** Returns the fraction of the requested amount that tasks use. */
    double ratio(Resource resource) {
        return used.get(resource) / requested.get(resource);
    }

    /** Returns the amount that tasks are expected to use if they request the given amount. */
    double expectedUse(Resource resource, double amount) {
        return amount * used.get(resource) / requested.get(resource);
    }
}
