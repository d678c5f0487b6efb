package thornferry.testbed.load;

/**
 * The measurements of one {@link LoadStep}. Latencies count from when a task was due.
 *
 * @param tasksPerSecond rate of the step
 * @param counts tasks by result
 * @param toOffer until a node received the task's first offer; empty if the nodes run in other
 *     processes
 * @param toJournaledOffer the part of {@code toOffer} for tasks whose offer the placer records
 *     before it sends it, which are those that are not idempotent by themselves
 * @param toResult until the client received the result
 * @param duplicateStarts non-idempotent tasks that started more than once, since the generator was
 *     created
 */
public record LoadReport(
        double tasksPerSecond,
        TaskCounts counts,
        LatencySummary toOffer,
        LatencySummary toJournaledOffer,
        LatencySummary toResult,
        long duplicateStarts) {
    /** Whether every task got a result and no non-idempotent task started twice. */
    public boolean isCorrect() {
        return duplicateStarts == 0 && counts.unanswered() == 0;
    }
}
