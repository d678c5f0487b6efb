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
 * message must not be sent, and the next incarnation must be able to cope with finding the record.
 *
 * <p><b>Duties of the implementation.</b> Records become durable in the order of the calls to
 * {@link #append}, and a callback reports success only after the record, and all before it, have
 * reached the configured {@link Durability}. A compacted file replaces the active one in this
 * order: write, force, rename, force the folder, and only then delete the former file. So a crash
 * at any point leaves at least one file with all acknowledged records.
 *
 * <p><b>Threads.</b> All methods are called from one thread. Callbacks may run on the calling
 * thread, before {@code append} returns, or on a thread of the journal.
 */
public interface Journal extends AutoCloseable {
    /**
     * Writes nothing and acknowledges every record at once: for a placer that is configured with
     * {@link Durability#NONE}.
     */
    Journal NONE = withoutFile(null);

    /**
     * A journal that cannot be written: every {@link #append} fails.
     *
     * @param why the failure that callbacks and {@link #writeFailure} report
     */
    static Journal broken(String why) {
        return withoutFile(why);
    }

    private static Journal withoutFile(String failureOrNull) {
        return new Journal() {
            @Override
            public void append(JournalRecord journalRecord, Consumer<String> done) {
                done.accept(failureOrNull);
            }

            @Override
            public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
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
     * @param done called once: with null when the record is as durable as configured, otherwise
     *     with the failure as a sentence. After a failure the record may be lost, and the message
     *     that depends on it must not be sent
     */
    void append(JournalRecord journalRecord, Consumer<String> done);

    /**
     * Compacts the file if it has grown enough, and retries a failed write. To be called
     * periodically.
     *
     * @param snapshot supplies the records that are still needed. Called at most once, before this
     *     method returns, and only if the file is to be compacted; the result may be iterated later
     *     by another thread and must not change
     */
    void compact(Supplier<Iterable<JournalRecord>> snapshot);

    /** The failure that prevents writing at present, as a sentence; empty if writing works. */
    String writeFailure();

    @Override
    void close();
}
