package thornferry.decisions.admission;

import thornferry.decisions.membership.ClusterView;

/** Running totals of the tasks, cores and memory that an owner, a tenant or the site uses. */
final class UsageTotals {
    private final String name;
    private int waitingTasks;
    private int activeTasks;
    private double activeCores;
    private double activeMemory;

    /**
     * @param name name of the owner or tenant; empty for the site
     */
    UsageTotals(String name) {
        this.name = name;
    }

    String name() {
        return name;
    }

    /** Returns the number of tasks that wait in the queue or back off. */
    int waitingTasks() {
        return waitingTasks;
    }

    /** Returns the number of tasks that are dispatched or placed. */
    int activeTasks() {
        return activeTasks;
    }

    double activeCores() {
        return activeCores;
    }

    double activeMemory() {
        return activeMemory;
    }

    boolean isIdle() {
        return waitingTasks == 0 && activeTasks == 0;
    }

    void addWaiting() {
        waitingTasks++;
    }

    void removeWaiting() {
        waitingTasks--;
    }

    void addActive(QueuedRequest request) {
        activeTasks++;
        activeCores += request.cores();
        activeMemory += request.memory();
    }

    void removeActive(QueuedRequest request) {
        activeTasks--;
        activeCores -= request.cores();
        activeMemory -= request.memory();
    }

    /**
     * Returns the larger of the fractions of all ready machines' cores and memory that active tasks
     * use.
     */
    double dominantShare(ClusterView cluster) {
        return cluster.dominantShare(activeCores, activeMemory);
    }

    QuotaUsage toQuotaUsage(ClusterView cluster, Quota quota) {
        return new QuotaUsage(
                name,
                waitingTasks,
                activeTasks,
                activeCores,
                activeMemory,
                dominantShare(cluster),
                quota);
    }
}
