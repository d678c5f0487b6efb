package thornferry.testbed.scenario;

import java.util.concurrent.atomic.AtomicLong;

/** Counts what {@link WorkloadTotals} tells. Written by one thread, read by any. */
final class WorkloadCounters {
    final AtomicLong tasks = new AtomicLong();
    final AtomicLong requests = new AtomicLong();
    final AtomicLong placed = new AtomicLong();
    final AtomicLong rejected = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    final AtomicLong unanswered = new AtomicLong();
    final AtomicLong ended = new AtomicLong();
    final AtomicLong evicted = new AtomicLong();
    final AtomicLong lost = new AtomicLong();

    WorkloadTotals totals() {
        return new WorkloadTotals(
                tasks.get(),
                requests.get(),
                placed.get(),
                rejected.get(),
                failed.get(),
                unanswered.get(),
                ended.get(),
                evicted.get(),
                lost.get());
    }
}
