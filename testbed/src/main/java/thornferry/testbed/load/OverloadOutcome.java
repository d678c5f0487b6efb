package thornferry.testbed.load;

/**
 * The result of an {@link OverloadExperiment}.
 *
 * @param load offered load, as a multiple of the nodes' capacity
 * @param admissionQueue whether the admission queue was enabled
 * @param placed tasks placed within the measured time
 * @param priorityWeightPerSecond sum of their priority weights, per second
 * @param fairness of the core seconds of these tasks
 * @param answers to the requests sent within the measured time
 */
public record OverloadOutcome(
        double load,
        boolean admissionQueue,
        long placed,
        double priorityWeightPerSecond,
        Fairness fairness,
        AnswerTotals answers) {}
