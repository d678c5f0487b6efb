package thornferry.state;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import thornferry.decisions.recovery.JournalRecord;
import thornferry.state.JournalRecovery.RecoveredJournal;
import thornferry.state.SnapshotWriter.PendingSnapshot;

/**
 * The journal file that entries are appended to. A rewrite replaces it with a compacted file.
 *
 * <p>Instances are safe for use by several threads: appends and the beginning and end of a rewrite
 * are mutually exclusive.
 */
final class ActiveFile implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(ActiveFile.class);

    /** The minimum time between a failed write and the next attempt to write. */
    private static final long RETRY_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The multiple of its initial size that a file must reach before it is compacted. */
    private static final long COMPACTION_GROWTH_FACTOR = 2;

    private static final String CLOSED_MESSAGE = "the journal is closed";

    private enum State {
        /** Entries are appended to the file; no compacted file is being written. */
        APPENDING,
        /** Appended entries are also collected for the compacted file that is being written. */
        REWRITING,
        /** The file is closed, and appends fail. */
        CLOSED
    }

    private final JournalFolder folder;
    private final Durability durability;
    private final LongSupplier nanoClock;
    private State state = State.APPENDING;
    private Path path; // null until a file exists
    private Storage.WritableFile output; // null until the first rewrite of this incarnation
    private long generation;
    private long initialBytes;
    private long validBytes; // up to the end of the last completely written frame
    private List<byte[]> framesDuringRewrite = List.of();
    private String failure = "";
    private long failedAtNanos;

    ActiveFile(
            JournalFolder folder,
            RecoveredJournal recovered,
            Durability durability,
            LongSupplier nanoClock) {
        this.folder = folder;
        this.durability = durability;
        this.nanoClock = nanoClock;
        path = recovered.file().orElse(null);
        generation = recovered.generation();
    }

    /**
     * Appends frames to the file, and forces it to disk if the configured durability requires that.
     *
     * @return the failure as a sentence; empty on success
     */
    synchronized Optional<String> append(List<byte[]> frames) {
        if (state == State.CLOSED) {
            return Optional.of(CLOSED_MESSAGE);
        }
        if (hasFailed() && nanoClock.getAsLong() - failedAtNanos < RETRY_BACKOFF_NANOS) {
            return Optional.of(failure);
        }
        try {
            write(concatenate(frames));
        } catch (IOException e) {
            return Optional.of(recordFailure(e));
        }
        if (state == State.REWRITING) {
            framesDuringRewrite.addAll(frames);
        }
        recordSuccess();
        return Optional.empty();
    }

    private void write(byte[] bytes) throws IOException {
        if (hasFailed()) {
            // Removes what the failed write left behind, which would otherwise precede these bytes.
            output.truncate(validBytes);
        }
        output.write(validBytes, bytes);
        if (durability == Durability.DISK) {
            output.force();
        }
        validBytes += bytes.length;
    }

    private static byte[] concatenate(List<byte[]> frames) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        frames.forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    private String recordFailure(IOException e) {
        if (!hasFailed()) {
            LOG.error("journal {} cannot be written: {}", path, e.getMessage());
        }
        failure = "the journal cannot be written: " + e.getMessage();
        failedAtNanos = nanoClock.getAsLong();
        return failure;
    }

    private void recordSuccess() {
        if (hasFailed()) {
            LOG.warn("journal {} can be written again", path);
            failure = "";
        }
    }

    private boolean hasFailed() {
        return !failure.isEmpty();
    }

    /** Returns the failure of the last write, as a sentence; empty if the write succeeded. */
    synchronized String failure() {
        return failure;
    }

    synchronized boolean isClosed() {
        return state == State.CLOSED;
    }

    synchronized Path path() {
        return path;
    }

    /**
     * Begins a rewrite if the file has grown enough. Until {@link #endRewrite}, appended frames are
     * also collected, because the snapshot does not contain them.
     *
     * @param snapshotSupplier called while the lock of this file is held, so that every frame is
     *     either in the snapshot or collected
     * @param thresholdBytes the size below which the file is not rewritten
     * @return the snapshot; empty if the file need not or cannot be rewritten now
     */
    synchronized Optional<Iterable<JournalRecord>> beginRewrite(
            Supplier<Iterable<JournalRecord>> snapshotSupplier, long thresholdBytes) {
        boolean isLarge = validBytes >= thresholdBytes;
        boolean hasGrown = validBytes >= COMPACTION_GROWTH_FACTOR * initialBytes;
        if (state != State.APPENDING || hasFailed() || !isLarge || !hasGrown) {
            return Optional.empty();
        }
        state = State.REWRITING;
        framesDuringRewrite = new ArrayList<>();
        return Optional.of(snapshotSupplier.get());
    }

    /** Ends the rewrite, successful or not, and discards the collected frames. */
    synchronized void endRewrite() {
        framesDuringRewrite = List.of();
        if (state == State.REWRITING) {
            state = State.APPENDING;
        }
    }

    /**
     * Replaces the file with a compacted one, after adding to the latter the frames that were
     * appended since {@link #beginRewrite}.
     *
     * <p>The steps are ordered so that a crash between any two of them loses no record: the
     * contents are on the disk before the compacted file is renamed, and its final name is on the
     * disk before the previous file is deleted.
     *
     * @throws IOException if the replacement failed; the active file is then unchanged and the
     *     snapshot's file is closed
     */
    synchronized void replaceWith(PendingSnapshot snapshot) throws IOException {
        Path renamedPath = folder.file(generation + 1);
        long bytes;
        try {
            if (state == State.CLOSED) {
                throw new IOException(CLOSED_MESSAGE);
            }
            bytes = appendCollectedFrames(snapshot);
            snapshot.output().force();
            folder.storage().rename(snapshot.path(), renamedPath);
        } catch (IOException e) {
            snapshot.output().close();
            throw e;
        }
        // The renamed file is now the newest generation, which the next incarnation reads. Entries
        // must therefore be written to it even if the previous file cannot be removed.
        Optional<Path> previousPath = Optional.ofNullable(path);
        Optional<Storage.WritableFile> previousOutput = Optional.ofNullable(output);
        path = renamedPath;
        output = snapshot.output();
        generation++;
        validBytes = bytes;
        initialBytes = bytes;
        removePreviousFile(previousPath, previousOutput);
    }

    private long appendCollectedFrames(PendingSnapshot snapshot) throws IOException {
        long bytes = snapshot.sizeBytes();
        for (byte[] frame : framesDuringRewrite) {
            snapshot.output().write(bytes, frame);
            bytes += frame.length;
        }
        return bytes;
    }

    private void removePreviousFile(
            Optional<Path> previousPath, Optional<Storage.WritableFile> previousOutput) {
        try {
            folder.storage().forceFolder(folder.path());
            if (previousOutput.isPresent()) {
                previousOutput.get().close();
            }
            if (previousPath.isPresent()) {
                folder.storage().delete(previousPath.get());
            }
        } catch (IOException e) {
            LOG.warn(
                    "journal {}: the previous file could not be removed: {}", path, e.getMessage());
        }
    }

    /** Closes the file; later appends fail. */
    @Override
    public synchronized void close() throws IOException {
        state = State.CLOSED;
        if (output != null) {
            output.close();
        }
    }
}
