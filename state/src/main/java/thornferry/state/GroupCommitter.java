package thornferry.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Appends entries in batches on its own thread (group commit). Entries that arrive while one batch
 * is being forced to disk form the next batch. As long as that batch stays below its maximum size,
 * an entry waits for at most two forces.
 */
final class GroupCommitter {
    /** The size at which a batch is full. */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    /** The interval at which the idle thread checks whether the file was closed. */
    private static final long CLOSE_CHECK_MILLIS = 100;

    @SuppressWarnings("ArrayRecordComponent") // entries are not compared
    private record PendingAppend(byte[] frame, Consumer<String> callback) {}

    private final ActiveFile file;
    private final ArrayDeque<PendingAppend> queue = new ArrayDeque<>(); // guarded by itself
    private final Thread thread;

    GroupCommitter(ActiveFile file, String placer) {
        this.file = file;
        thread = new Thread(this::commitUntilClosed, "journal-" + placer);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /**
     * Queues a frame for the next batch.
     *
     * @param callback called on the committer's thread, with null when the frame is durable,
     *     otherwise with the failure as a sentence
     */
    void submit(byte[] frame, Consumer<String> callback) {
        synchronized (queue) {
            queue.add(new PendingAppend(frame, callback));
            queue.notifyAll();
        }
    }

    private void commitUntilClosed() {
        try {
            List<PendingAppend> batch = nextBatch();
            while (!batch.isEmpty()) {
                commit(batch);
                batch = nextBatch();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for entries; returns an empty batch if the file is closed and no entry is pending. */
    private List<PendingAppend> nextBatch() throws InterruptedException {
        List<PendingAppend> batch = new ArrayList<>();
        synchronized (queue) {
            while (queue.isEmpty()) {
                if (file.isClosed()) {
                    return batch;
                }
                queue.wait(CLOSE_CHECK_MILLIS);
            }
            int batchBytes = 0;
            while (!queue.isEmpty() && batchBytes < MAX_BATCH_BYTES) {
                PendingAppend append = queue.poll();
                batch.add(append);
                batchBytes += append.frame().length;
            }
        }
        return batch;
    }

    private void commit(List<PendingAppend> batch) {
        Optional<String> failure = file.append(batch.stream().map(PendingAppend::frame).toList());
        batch.forEach(append -> append.callback().accept(failure.orElse(null)));
    }
}
