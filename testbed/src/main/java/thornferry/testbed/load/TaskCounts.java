package thornferry.testbed.load;

/**
 * Number of tasks by result.
 *
 * @param requested tasks that were due in the step
 * @param placed tasks that run on a node
 * @param rejected tasks that the placer rejected
 * @param failed tasks with any other result
 * @param unanswered tasks without a result
 * @param excluded tasks left out of the latencies because their client was disconnected
 */
public record TaskCounts(
        long requested, long placed, long rejected, long failed, long unanswered, long excluded) {}
