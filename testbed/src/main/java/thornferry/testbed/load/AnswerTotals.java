package thornferry.testbed.load;

/**
 * The requests of a period and their answers, including those of retries.
 *
 * @param requested number of tasks, each counted once
 * @param p99Micros 99th percentile of the time to an answer, in microseconds
 * @param earlyRejections rejections within half of the request's maximum wait
 * @param lateRejections rejections after nine tenths of the request's maximum wait
 * @param unanswered requests without an answer
 */
public record AnswerTotals(
        long requested,
        long p99Micros,
        long earlyRejections,
        long lateRejections,
        long unanswered) {}
