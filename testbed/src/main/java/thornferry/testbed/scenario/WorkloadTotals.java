package thornferry.testbed.scenario;

/**
 * What became of the tasks of a workload.
 *
 * @param tasks number of tasks submitted at least once
 * @param requests number of submissions, retries included
 * @param placed requests with the result placed
 * @param rejected requests with the result rejected
 * @param failed requests with the result failed
 * @param unanswered requests without a result
 * @param ended placed tasks that completed
 * @param evicted placed tasks that were evicted or migrated
 * @param lost placed tasks that were lost with their node
 */
record WorkloadTotals(
        long tasks,
        long requests,
        long placed,
        long rejected,
        long failed,
        long unanswered,
        long ended,
        long evicted,
        long lost) {
    static final WorkloadTotals ZERO = new WorkloadTotals(0, 0, 0, 0, 0, 0, 0, 0, 0);

    WorkloadTotals plus(WorkloadTotals other) {
        return new WorkloadTotals(
                tasks + other.tasks,
                requests + other.requests,
                placed + other.placed,
                rejected + other.rejected,
                failed + other.failed,
                unanswered + other.unanswered,
                ended + other.ended,
                evicted + other.evicted,
                lost + other.lost);
    }
}
