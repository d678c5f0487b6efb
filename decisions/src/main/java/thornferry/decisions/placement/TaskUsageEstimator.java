package thornferry.decisions.placement;

import thornferry.decisions.placement.Placement.Settings;

/** How much of the requested resources own tasks use, from observations of running ones. */
final class TaskUsageEstimator {
    /** The part of a request that tasks use until observations tell otherwise. */
    private static final double INITIAL_USAGE = 0.75;

    /** How many mean tasks the initial estimate counts as. */
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

    /** Takes what a running task uses; a negative amount withdraws an earlier observation. */
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
    void forget(TrackedTask task) {
        observe(task, Resource.CORES, TrackedTask.NOT_OBSERVED);
        observe(task, Resource.MEMORY, TrackedTask.NOT_OBSERVED);
    }

    /** The part of their requests that tasks use. */
    double ratio(Resource resource) {
        return used.get(resource) / requested.get(resource);
    }

    /** What tasks that request this much are expected to use. */
    double expectedUse(Resource resource, double amount) {
        return amount * used.get(resource) / requested.get(resource);
    }
}
