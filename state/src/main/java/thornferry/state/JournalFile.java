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
 * The journal of one placer instance, on disk. Each instance has its own folder, which only one
 * process at a time may have open.
 *
 * <p>Each incarnation begins with a compacted file, which holds the records that are still needed;
 * later records are appended to it. A compacted file is written under a temporary name and renamed
 * when it is complete, so that a torn write can only be at the end of a file. See {@link Journal}
 * for the ordering of writes.
 */
public final class JournalFile implements Journal {
    private static final Logger LOG = LoggerFactory.getLogger(JournalFile.class);

    /** Thrown if another process, or another instance in this process, uses the folder. */
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

    /** The threads that write, force and compact. */
    enum Threading {
        /** The journal has its own threads for forcing and for compaction. */
        BACKGROUND,
        /** The calling thread does everything, so that tests are reproducible. */
        CALLER
    }

    /**
     * The options for writing a journal.
     *
     * @param nanoClock measures the backoff after a failed write
     * @param compactionThresholdBytes the size below which a file is not compacted
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
    private final Optional<GroupCommitter> committer; // empty if the caller of append writes

    JournalFile(JournalFolder folder, String placer, Options options) throws IOException {
        this.folder = folder;
        this.placer = placer;
        this.options = options;
        recovered = JournalRecovery.recover(folder, placer);
        activeFile = new ActiveFile(folder, recovered, options.durability(), options.nanoClock());
        snapshotWriter = new SnapshotWriter(folder, placer, options.durability());
        boolean usesGroupCommit =
                options.threading() == Threading.BACKGROUND
                        && options.durability() == Durability.DISK;
        committer =
                usesGroupCommit
                        ? Optional.of(new GroupCommitter(activeFile, placer))
                        : Optional.empty();
    }

    /**
     * Opens the journal of a placer instance and reads the records of earlier incarnations. No
     * record is written before {@link #startIncarnation}. If the newest file is damaged or foreign,
     * it is renamed and kept for inspection.
     *
     * @param folder the folder of the instance; created if it does not exist
     * @param placer the name of the instance; the journal of another instance is not used
     * @param durability {@link Durability#OS} or {@link Durability#DISK}
     * @throws JournalInUseException if another placer has the folder open
     * @throws IOException if the folder cannot be created, read or written
     */
    public static JournalFile open(Path folder, String placer, Durability durability)
            throws IOException {
        if (durability == Durability.NONE) {
            throw new IllegalArgumentException(
                    "durability none has no journal file; expected os or disk");
        }
        JournalFolder locked = JournalFolder.lock(folder);
        try {
            return new JournalFile(locked, placer, Options.standard(durability));
        } catch (IOException | RuntimeException e) {
            locked.close();
            throw e;
        }
    }

    /** Returns the journal files of a folder, oldest generation first. */
    public static List<Path> files(Path folder) throws IOException {
        return JournalFolder.files(Storage.SYSTEM, folder);
    }

    /** Returns the records that earlier incarnations wrote, oldest first. */
    public List<JournalRecord> records() {
        return recovered.contents().records();
    }

    /** Returns why {@link #records} may be incomplete, as a sentence; empty if it is complete. */
    public String incompleteReason() {
        return recovered.incompleteReason();
    }

    /**
     * Begins this incarnation with a compacted file. {@link #append} may be called afterwards.
     *
     * @param snapshot the records that are still needed
     * @throws IOException if the file cannot be written; the previous file is then still in place
     */
    public void startIncarnation(Iterable<JournalRecord> snapshot) throws IOException {
        rewrite(snapshot);
        committer.ifPresent(GroupCommitter::start);
    }

    @Override
    public void append(JournalRecord journalRecord, Consumer<String> callback) {
        byte[] frame = RecordCodec.frame(journalRecord);
        if (committer.isPresent()) {
            committer.get().submit(frame, callback);
        } else {
            Optional<String> failure = activeFile.append(List.of(frame));
            callback.accept(failure.orElse(null));
        }
    }

    @Override
    public String writeFailure() {
        return activeFile.failure();
    }

    @Override
    public void compact(Supplier<Iterable<JournalRecord>> snapshotSupplier) {
        retryFailedWrite();
        activeFile
                .beginRewrite(snapshotSupplier, options.compactionThresholdBytes())
                .ifPresent(this::startCompaction);
    }

    /**
     * Appends an entry if the last write failed. While writing fails, tasks that need the journal
     * are not placed, so no other append would detect that writing works again.
     */
    private void retryFailedWrite() {
        if (!activeFile.failure().isEmpty()) {
            activeFile.append(List.of(JournalRecovery.incarnationFrame(options.durability())));
        }
    }

    /** Compacts the file, normally on a separate thread because it may have many megabytes. */
    private void startCompaction(Iterable<JournalRecord> records) {
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
            activeFile.replaceWith(snapshot);
        } finally {
            activeFile.endRewrite();
        }
    }

    /** Closes the file and unlocks the folder; appends that are still pending fail. */
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
