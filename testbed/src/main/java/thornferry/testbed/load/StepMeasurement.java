package thornferry.testbed.load;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/** Collects the measurements of one {@link LoadStep}; used by several threads. */
final class StepMeasurement {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final ConcurrentHistogram toOffer = newHistogram();
    private final ConcurrentHistogram toJournaledOffer = newHistogram();
    private final ConcurrentHistogram toResult = newHistogram();
    private final AtomicLong requested = new AtomicLong();
    private final AtomicLong placed = new AtomicLong();
    private final AtomicLong rejected = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final AtomicLong withoutResult = new AtomicLong();
    private final AtomicLong excluded = new AtomicLong();
    private final AtomicLong outstanding = new AtomicLong();

    private static ConcurrentHistogram newHistogram() {
        return new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    }

    /** A task is due. */
    void taskRequested() {
        requested.incrementAndGet();
        outstanding.incrementAndGet();
    }

    /** A node has received the first offer of a task. */
    void taskOffered(long latencyMicros, boolean journaled) {
        toOffer.recordValue(latencyMicros);
        if (journaled) {
            toJournaledOffer.recordValue(latencyMicros);
        }
    }

    /** The latency from when a task was due to its result. */
    void resultReceived(long latencyMicros) {
        toResult.recordValue(latencyMicros);
    }

    /** The latency of a task is not measured, because its client was disconnected. */
    void taskExcluded() {
        excluded.incrementAndGet();
    }

    /** A requested task has ended with a result. */
    void taskCompleted(TaskOutcome outcome) {
        AtomicLong counter =
                switch (outcome) {
                    case PLACED -> placed;
                    case REJECTED -> rejected;
                    case FAILED -> failed;
                };
        counter.incrementAndGet();
        outstanding.decrementAndGet();
    }

    /** A requested task has ended without a result: not accepted, or not answered in time. */
    void taskEndedWithoutResult() {
        withoutResult.incrementAndGet();
        outstanding.decrementAndGet();
    }

    /** Whether requested tasks may still get a result. */
    boolean hasOutstandingTasks() {
        return outstanding.get() > 0;
    }

    /** The measurements so far; tasks that are still outstanding count as unanswered. */
    LoadReport report(double tasksPerSecond, long duplicateStarts) {
        TaskCounts counts =
                new TaskCounts(
                        requested.get(),
                        placed.get(),
                        rejected.get(),
                        failed.get(),
                        withoutResult.get() + outstanding.get(),
                        excluded.get());
        return new LoadReport(
                tasksPerSecond,
                counts,
                LatencySummary.of(toOffer),
                LatencySummary.of(toJournaledOffer),
                LatencySummary.of(toResult),
                duplicateStarts);
    }
}
