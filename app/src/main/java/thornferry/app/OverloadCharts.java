package thornferry.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import thornferry.testbed.load.OverloadOutcome;
import thornferry.testbed.load.RecoveryOutcome;

/**
 * The charts of {@code overload}. Each has one line with the admission queue and one without it.
 */
final class OverloadCharts {
    private static final double MICROS_PER_MILLI = 1e3;

    private final Path folder;

    OverloadCharts(Path folder) {
        this.folder = folder;
    }

    /** Writes all charts as PNG files and creates the folder if it does not exist. */
    void write(List<OverloadOutcome> outcomes, List<RecoveryOutcome> recoveries, int burst)
            throws IOException {
        Files.createDirectories(folder);
        overloadChart(
                        "Priority weight placed per second",
                        "worth/s",
                        outcomes,
                        OverloadOutcome::priorityWeightPerSecond)
                .write(folder.resolve("worth.png"));
        overloadChart(
                        "Jain's index of served over entitled",
                        "index",
                        outcomes,
                        outcome -> outcome.fairness().jainIndex())
                .write(folder.resolve("fairness.png"));
        overloadChart(
                        "p99 of the time to a result",
                        "ms",
                        outcomes,
                        outcome -> outcome.answers().p99Micros() / MICROS_PER_MILLI)
                .write(folder.resolve("answers.png"));
        overloadChart(
                        "Rejections after nine tenths of the maximum wait",
                        "refusals",
                        outcomes,
                        outcome -> outcome.answers().lateRejections())
                .write(folder.resolve("late.png"));
        overloadChart(
                        "Rejections within half of the maximum wait",
                        "refusals",
                        outcomes,
                        outcome -> outcome.answers().earlyRejections())
                .write(folder.resolve("early.png"));
        recoveryChart(recoveries, burst).write(folder.resolve("recovery.png"));
    }

    /** Returns a chart of one figure over the offered load. */
    static LineChart overloadChart(
            String title,
            String unit,
            List<OverloadOutcome> outcomes,
            ToDoubleFunction<OverloadOutcome> figure) {
        return new LineChart(
                title + " (emulated nodes)",
                "offered load, as a multiple of the nodes' capacity",
                unit,
                Stream.of(false, true)
                        .map(queue -> overloadSeries(queue, outcomes, figure))
                        .toList());
    }

    private static LineChart.Series overloadSeries(
            boolean admissionQueue,
            List<OverloadOutcome> outcomes,
            ToDoubleFunction<OverloadOutcome> figure) {
        List<LineChart.Point> points =
                outcomes.stream()
                        .filter(outcome -> outcome.admissionQueue() == admissionQueue)
                        .map(o -> new LineChart.Point(o.load(), figure.applyAsDouble(o)))
                        .toList();
        return new LineChart.Series(seriesName(admissionQueue), points);
    }

    /** Returns the chart of the fraction of new tasks that are placed in time after a burst. */
    static LineChart recoveryChart(List<RecoveryOutcome> recoveries, int burst) {
        return new LineChart(
                "New tasks placed within one second, after a burst of " + burst,
                "seconds after the burst",
                "part",
                recoveries.stream().map(OverloadCharts::recoverySeries).toList());
    }

    private static LineChart.Series recoverySeries(RecoveryOutcome recovery) {
        List<LineChart.Point> points =
                recovery.points().stream()
                        .map(
                                point ->
                                        new LineChart.Point(
                                                point.secondsAfterBurst(),
                                                point.placedInTimeFraction()))
                        .toList();
        return new LineChart.Series(seriesName(recovery.admissionQueue()), points);
    }

    private static String seriesName(boolean admissionQueue) {
        return "admission queue " + OverloadPrinter.onOrOff(admissionQueue);
    }
}
