package thornferry.bench.stores;

import org.HdrHistogram.Histogram;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Writes records to a store with group commit: the records that arrive during one commit are
 * written together by the next. Measures the time from when a record was due until it is durable.
 */
final class GroupCommitWriter {
    private static final long MAX_LATENCY_NANOS = 60_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /**
     * The result of a run.
     *
     * @param latencyNanos time from when a record was due until it was durable
     * @param commits number of commits
     * @param records number of records
     */
    record Result(Histogram latencyNanos, long commits, long records) {
        double recordsPerCommit() {
            return (double) records / commits;
        }
    }

    private record PendingRecord(long dueNanos, byte[] content) {}

    private final RecordStore store;
    private final Thread thread = new Thread(this::run);
    private final Histogram latencyNanos = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private final ArrayDeque<PendingRecord> queue = new ArrayDeque<>(); // guarded by itself
    private boolean finished; // guarded by queue
    private long commits; // of the writer's thread, as the two below
    private long records;
    private Exception failure;

    GroupCommitWriter(RecordStore store) {
        this.store = store;
    }

    void start() {
        thread.start();
    }

    /** Adds a record to the next commit. */
    void add(long dueNanos, byte[] content) {
        synchronized (queue) {
            queue.add(new PendingRecord(dueNanos, content));
            queue.notifyAll();
        }
    }

    /**
     * Waits until all records are durable.
     *
     * @throws Exception the failure of the store, if it failed
     */
    Result finish() throws Exception {
        synchronized (queue) {
            finished = true;
            queue.notifyAll();
        }
        thread.join();
        if (failure != null) {
            throw failure;
        }
        return new Result(latencyNanos, commits, records);
    }

    private void run() {
        try {
            List<PendingRecord> batch = takeBatch();
            while (!batch.isEmpty()) {
                commit(batch);
                batch = takeBatch();
            }
        } catch (Exception e) {
            failure = e;
        }
    }

    /** Waits for records and takes all of them; an empty batch is the end. */
    private List<PendingRecord> takeBatch() throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty() && !finished) {
                queue.wait();
            }
            List<PendingRecord> batch = new ArrayList<>(queue);
            queue.clear();
            return batch;
        }
    }

    private void commit(List<PendingRecord> batch) throws Exception {
        store.commit(records, batch.stream().map(PendingRecord::content).toList());
        long nowNanos = System.nanoTime();
        batch.forEach(pending -> latencyNanos.recordValue(nowNanos - pending.dueNanos()));
        commits++;
        records += batch.size();
    }
}
