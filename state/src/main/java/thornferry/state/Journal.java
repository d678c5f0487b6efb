package thornferry.state;

import java.util.function.Consumer;
import java.util.function.Supplier;
import thornferry.decisions.recovery.JournalRecord;

/**
 * The write-ahead journal of a placer instance.
 *
 * <p><b>Duties of the caller.</b> As with the {@code Ready} loop of etcd's raft package, the order
 * of the steps is what makes a restart safe:
 *
 * <ol>
 *   <li>Persist: pass the record to {@link #append} and wait until its callback reports success.
 *   <li>Send: only then send the message that the record covers (the offer to a node, the result to
 *       a client). A message sent earlier may have an effect that the next incarnation does not
 *       know of, and the task might run twice.
 *   <li>Apply: changes of state that depend on the message having been sent come last.
 * </ol>
 *
 * <p>If the callback reports a failure, the record may or may not be on the disk: the dependent
 * message must not be sent, and the next incarnation must handle either case.
 *
 * <p><b>Duties of the implementation.</b> Records become durable in the order of the calls to
 * {@link #append}, and a callback reports success only after the record, and all earlier ones, have
 * reached the configured {@link Durability}. A compacted file replaces the active one in this
 * order: write, force, rename, force the folder, and only then delete the previous file. A crash at
 * any point therefore leaves at least one file with all acknowledged records.
 *
 * <p><b>Threads.</b> The caller must call all methods from one thread. Callbacks may run on the
 * calling thread, before {@code append} returns, or on a thread of the journal.
 */
public interface Journal extends AutoCloseable {
    /**
     * A journal that writes nothing and acknowledges every record immediately, for a placer that is
     * configured with {@link Durability#NONE}.
     */
    Journal NONE = withoutFile(null);

    /**
     * Returns a journal that cannot be written: every {@link #append} fails.
     *
     * @param failure the failure that callbacks and {@link #writeFailure} report, as a sentence
     */
    static Journal broken(String failure) {
        return withoutFile(failure);
    }

    private static Journal withoutFile(String failureOrNull) {
        return new Journal() {
            @Override
            public void append(JournalRecord journalRecord, Consumer<String> callback) {
                callback.accept(failureOrNull);
            }

            @Override
            public void compact(Supplier<Iterable<JournalRecord>> snapshotSupplier) {
                // there is no file to compact
            }

            @Override
            public String writeFailure() {
                return failureOrNull == null ? "" : failureOrNull;
            }

            @Override
            public void close() {
                // there is no file to close
            }
        };
    }

    /**
     * Appends a record. Records become durable in the order of the calls.
     *
     * @param journalRecord what the next incarnation must know
     * @param callback called once: with null when the record is as durable as configured, otherwise
     *     with the failure as a sentence. After a failure the record may be lost, and the message
     *     that depends on it must not be sent
     */
    void append(JournalRecord journalRecord, Consumer<String> callback);

    /**
     * Compacts the file if it has grown enough, and retries a failed write. The caller must call
     * this method periodically.
     *
     * @param snapshotSupplier supplies the records that are still needed. It is called at most
     *     once, before this method returns, and only if the file is to be compacted. Its result may
     *     be iterated later by another thread and must not change
     */
    void compact(Supplier<Iterable<JournalRecord>> snapshotSupplier);

    /**
     * Returns the failure that currently prevents writing, as a sentence; empty if there is none.
     */
    String writeFailure();

    /** Closes the journal; later appends fail. */
    @Override
    void close();
}
