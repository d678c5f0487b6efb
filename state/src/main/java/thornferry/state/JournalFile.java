package thornferry.state;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.JournalRecovery.RecoveredJournal;
import thornferry.state.SnapshotWriter.PendingSnapshot;

/**
 * The journal of one placer instance in a folder of its own, which one process at a time may have
 * open.
 *
 * <p>Each incarnation begins with a compacted file, which holds the records that are still needed;
 * further records are appended to it. Compacted files are complete before they take their name, so
 * that only the end of a file can be torn. See {@link Journal} for the ordering of writes.
 */
public final class JournalFile implements Journal {
    private static final Logger LOG = LoggerFactory.getLogger(JournalFile.class);

    /** Another process, or another instance in this one, uses the folder. */
    public static final class JournalInUseException extends IOException {
        private static final long serialVersionUID = 1;

        JournalInUseException(Path folder) {
            super(
                    "state folder "
                            + folder
                            + " is in use by another placer; each instance needs a folder of its"
                            + " own");
        }
    }

    /** Which thread writes, forces and compacts. */
    enum Threading {
        /** The journal has threads for forcing and for compaction. */
        BACKGROUND,
        /** Everything is done by the caller: for tests that must be reproducible. */
        CALLER
    }

    /**
     * How a journal is written.
     *
     * @param nanoClock measures the backoff after a failed write
     * @param compactionThresholdBytes a smaller file is not compacted
     */
    record Options(
            Durability durability,
            LongSupplier nanoClock,
            Threading threading,
            long compactionThresholdBytes) {
        private static final long COMPACTION_THRESHOLD_BYTES = 8L << 20;

        static Options standard(Durability durability) {
            return new Options(
                    durability, System::nanoTime, Threading.BACKGROUND, COMPACTION_THRESHOLD_BYTES);
        }
    }

    private final JournalFolder folder;
    private final String placer;
    private final Options options;
    private final RecoveredJournal recovered;
    private final ActiveFile activeFile;
    private final SnapshotWriter snapshotWriter;
    private final Optional<GroupCommitter> committer; // empty: the caller of append writes

    JournalFile(JournalFolder folder, String placer, Options options) throws IOException {
        this.folder = folder;
        this.placer = placer;
        this.options = options;
        recovered = JournalRecovery.recover(folder, placer);
        activeFile = new ActiveFile(folder, recovered, options.durability(), options.nanoClock());
        snapshotWriter = new SnapshotWriter(folder, placer, options.durability());
        boolean forcesInBackground =
                options.threading() == Threading.BACKGROUND
                        && options.durability() == Durability.DISK;
        committer =
                forcesInBackground
                        ? Optional.of(new GroupCommitter(activeFile, placer))
                        : Optional.empty();
    }

    /**
     * Opens the journal of a placer instance and reads what former incarnations wrote. Nothing is
     * written before {@link #startIncarnation}; a newest file that is incomplete or foreign is set
     * aside under another name.
     *
     * @param folder created if it does not exist
     * @param placer the instance's name; the journal of another one is not used
     * @param durability {@link Durability#OS} or {@link Durability#DISK}
     * @throws JournalInUseException if another placer has the folder open
     * @throws IOException if the folder cannot be created, read or written
     */
    public static JournalFile open(Path folder, String placer, Durability durability)
            throws IOException {
        if (durability == Durability.NONE) {
            throw new IllegalArgumentException("nothing is written with durability none");
        }
        JournalFolder locked = JournalFolder.lock(folder);
        try {
            return new JournalFile(locked, placer, Options.standard(durability));
        } catch (IOException | RuntimeException e) {
            locked.close();
            throw e;
        }
    }

    /** The journal files of a folder, oldest generation first. */
    public static List<Path> files(Path folder) throws IOException {
        return JournalFolder.files(Storage.SYSTEM, folder);
    }

    /** The records that former incarnations wrote, oldest first. */
    public List<JournalRecord> records() {
        return recovered.contents().records();
    }

    /** Why {@link #records} may lack some, as a sentence; empty if it is complete. */
    public String incompleteBecause() {
        return recovered.incompleteBecause();
    }

    /**
     * Begins this incarnation with a compacted file; from now on {@link #append} may be called.
     *
     * @param snapshot the records that are still needed
     * @throws IOException if the file cannot be written; the former one is then still in place
     */
    public void startIncarnation(Iterable<JournalRecord> snapshot) throws IOException {
        rewrite(snapshot);
        committer.ifPresent(GroupCommitter::start);
    }

    @Override
    public void append(JournalRecord journalRecord, Consumer<String> done) {
        byte[] frame = RecordCodec.frame(journalRecord);
        if (committer.isPresent()) {
            committer.get().submit(frame, done);
        } else {
            Optional<String> failure = activeFile.append(List.of(frame));
            done.accept(failure.orElse(null));
        }
    }

    @Override
    public String writeFailure() {
        return activeFile.failure();
    }

    @Override
    public void compact(Supplier<Iterable<JournalRecord>> snapshot) {
        retryFailedWrite();
        activeFile
                .beginRewrite(snapshot, options.compactionThresholdBytes())
                .ifPresent(this::compactTo);
    }

    /**
     * While writing fails, no task is placed that needs the journal, so nothing is appended and
     * nothing else would find out that writing works again.
     */
    private void retryFailedWrite() {
        if (!activeFile.failure().isEmpty()) {
            activeFile.append(List.of(JournalRecovery.incarnationFrame(options.durability())));
        }
    }

    /** Writes the compacted file, normally on a thread of its own as it may be many megabytes. */
    private void compactTo(Iterable<JournalRecord> records) {
        if (options.threading() == Threading.CALLER) {
            rewriteOrLog(records);
            return;
        }
        Thread thread = new Thread(() -> rewriteOrLog(records), "journal-compact-" + placer);
        thread.setDaemon(true);
        thread.start();
    }

    private void rewriteOrLog(Iterable<JournalRecord> records) {
        try {
            rewrite(records);
        } catch (IOException e) {
            LOG.error(
                    "journal {} could not be compacted and keeps growing: {}",
                    activeFile.path(),
                    e.getMessage());
        }
    }

    private void rewrite(Iterable<JournalRecord> records) throws IOException {
        try {
            PendingSnapshot snapshot = snapshotWriter.write(records);
            activeFile.replaceBy(snapshot);
        } finally {
            activeFile.endRewrite();
        }
    }

    /** Closes the file and releases the folder; records that are still pending fail. */
    @Override
    public void close() {
        try {
            activeFile.close();
            folder.close();
        } catch (IOException e) {
            LOG.warn("journal {} was not closed properly: {}", activeFile.path(), e.getMessage());
        }
    }
}
